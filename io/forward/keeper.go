package forward

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"radishhollow/core/clock"
	"radishhollow/core/route"
	"radishhollow/io/telemetry"
)

const (
	// checkPause bounds how often an answer looks whether the copy of its run still exists. The list of endpoints, which
	// tells, changes no faster.
	checkPause = 200 * time.Millisecond
	// moveTimeout bounds one move; memory of a long prompt takes some ms.
	moveTimeout = time.Second
	// dropTimeout bounds the call that frees a copy. One that is not freed expires.
	dropTimeout = time.Second
	// maxMoves bounds the tries to replace one lost copy.
	maxMoves = 4
)

// keeper keeps a copy of a run's memory outside the run's place. The run's engine sends the first copy by itself; when the
// engine that holds it is lost, keeper has the memory moved to another one. Without it, the loss of the place of the
// copies and then of the place of the runs makes all of their prompts be read again.
type keeper struct {
	server *Server
	// run is the id of the run at its engine, and source that engine.
	run    string
	source route.Choice
	// pick chooses the engine of a new copy.
	pick func(ctx context.Context, lost string) (route.Choice, error)
	// keepFor is the time for which engines keep a moved copy.
	keepFor time.Duration
	// moves tells that memory can be moved.
	moves bool

	// ctx ends with the run.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	present copied
	// handle frees the present copy at the run's engine. It is empty for a copy that the engine sends by itself.
	handle  string
	checked time.Time
	running bool
	// taken is the copy that the next run goes on from.
	taken copied
}

// check replaces the copy in the background when its engine is lost.
func (k *keeper) check() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.running || !k.moves || k.present.from == "" || now.Sub(k.checked) < checkPause {
		return
	}
	k.checked = now
	if k.held() {
		return
	}
	k.running = true
	k.server.start(k.loop)
}

// held tells whether the copy's engine may still have it.
func (k *keeper) held() bool {
	return k.present.from != "" && k.server.Usable(k.present.holder.Address(), k.present.holder.Incarnation())
}

// loop moves the memory, and again before the moved copy expires, until the run ends.
func (k *keeper) loop() {
	defer k.drop()
	for tries := 0; tries < maxMoves; {
		pause := k.keepFor / 2
		if !k.move() {
			pause = checkPause
			tries++
		}
		if clock.Sleep(k.ctx, pause) != nil {
			return
		}
	}
}

// move renews the copy at its engine, or makes one at another engine. A call that has begun is not broken off when the run
// ends, because the copy could not be freed without its handle.
func (k *keeper) move() bool {
	holder, lost, err := k.target(k.ctx)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(k.ctx), moveTimeout)
	defer cancel()
	handle, err := k.server.CopyKVCache(ctx, k.source.Address(), k.run, holder.Address())
	if err != nil && k.ctx.Err() != nil {
		return false
	}
	k.mu.Lock()
	k.present, k.handle = copied{holder: holder}, handle
	if err == nil {
		k.present.from = k.source.Address() + "/" + handle
	}
	k.mu.Unlock()
	k.report(holder, lost, err)
	return err == nil
}

// report writes the line of a move, but for one that renews a copy.
func (k *keeper) report(holder route.Choice, lost string, err error) {
	entry := k.server.Log.WithFields(logrus.Fields{
		"request": k.run, "endpoint": k.source.Incarnation(), "lost": lost, "to": holder.Address(),
	})
	switch {
	case err != nil:
		k.server.Metrics.Count(telemetry.Copies, "failed")
		entry.WithError(err).Info("copy not moved")
	case lost != "":
		k.server.Metrics.Count(telemetry.Copies, "moved")
		entry.Info("copy moved")
	default:
		k.server.Metrics.Count(telemetry.Copies, "renewed")
	}
}

// target returns the engine of the present copy if it has one that was moved, or else another one and the lost engine.
func (k *keeper) target(ctx context.Context) (holder route.Choice, lost string, err error) {
	k.mu.Lock()
	present, held := k.present, k.handle != "" && k.held()
	k.mu.Unlock()
	if held {
		return present.holder, "", nil
	}
	lost = present.holder.Address()
	holder, err = k.pick(ctx, lost)
	return holder, lost, err
}

// take ends the keeping and returns the copy to go on from.
func (k *keeper) take() copied {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cancel()
	if k.present.from != "" {
		k.taken = k.present
	}
	return k.taken
}

// drop frees a moved copy that nothing went on from.
func (k *keeper) drop() {
	k.mu.Lock()
	handle, used := k.handle, k.taken.from == k.present.from
	k.mu.Unlock()
	if handle == "" || used {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(k.ctx), dropTimeout)
	defer cancel()
	k.server.ReleaseKVCopy(ctx, k.source.Address(), handle)
}
