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
	// checkInterval is the minimum interval between two checks that the first copy of a run still exists, and the delay
	// after a failed move. The checks use the instance list, which changes no faster.
	checkInterval = 200 * time.Millisecond
	// moveTimeout bounds one move. The KV cache of a long prompt takes a few milliseconds to copy, but a sound engine may be
	// silent for a second or so, and a copy whose handle is not received can't be used or freed.
	moveTimeout = 2500 * time.Millisecond
	// releaseTimeout bounds the call that frees a copy, for the same reason. A copy that is not freed expires.
	releaseTimeout = 2500 * time.Millisecond
	// maxFailedMoves bounds the failed attempts to replace a lost copy.
	maxFailedMoves = 4
)

// replicator maintains a copy of a run's KV cache outside the run's place. The run's engine sends the first copy by
// itself. When the engine that holds the copy is lost, the replicator has the KV cache copied to another engine (a
// move). Without moves, the loss of the copies' place followed by the loss of the runs' place would force a new prefill
// of all their prompts.
type replicator struct {
	server *Server
	// runID is the id of the run at its engine: the id of the request, which all its runs share. source is that engine.
	runID  string
	source route.Choice
	// pickHolder chooses the engine of a new copy, which is not at avoidAddress.
	pickHolder func(ctx context.Context, avoidAddress string) (route.Choice, error)
	// copyLifetime is the time after which engines discard a moved copy that is not renewed.
	copyLifetime time.Duration
	// movesSupported reports whether the engines support moves, which are KV cache copies on request.
	movesSupported bool

	copier KVCopier

	// ctx ends with the run.
	ctx    context.Context
	cancel context.CancelFunc

	// mu protects the fields below.
	mu sync.Mutex
	// current is the copy at present. After a failed move it has no reference; its holder is then the engine that the
	// move was to use, which the next move avoids.
	current kvCopy
	// handle identifies the current copy at the run's engine, which frees it by this handle. It is empty for the copy
	// that the engine sends by itself.
	handle    string
	checkedAt time.Time
	// started is set when loop is started, after the first loss of the copy. Until then, check looks for a loss every
	// checkInterval; from then on, loop looks for one at each renewal. A replicator starts loop at most once.
	started bool
	// resumeCopy is the copy that stop has offered to the next run.
	resumeCopy kvCopy
}

// check starts to replace the copy in the background if its engine is lost.
func (r *replicator) check() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.started || !r.movesSupported || r.current.reference == "" || now.Sub(r.checkedAt) < checkInterval {
		return
	}
	r.checkedAt = now
	if r.copyUsable() {
		return
	}
	r.started = true
	r.server.startBackground(r.loop)
}

// copyUsable reports whether the copy's engine may still hold it. The caller must hold mu.
func (r *replicator) copyUsable() bool {
	return r.current.reference != "" && r.server.Usable(r.current.holder.Address(), r.current.holder.Incarnation())
}

// loop moves the KV cache and renews the moved copy before it expires, until the run ends or maxFailedMoves is
// reached.
func (r *replicator) loop(ctx context.Context) {
	// A run whose handler has not ended must not keep the daemon from ending.
	defer context.AfterFunc(ctx, r.cancel)()
	r.copier = r.server.NewKVCopier()
	defer r.copier.Close()
	defer r.releaseUnused(ctx)
	for failures := 0; failures < maxFailedMoves; {
		pause := r.copyLifetime / 2
		if !r.move(ctx) {
			pause = checkInterval
			failures++
		}
		if clock.Sleep(r.ctx, pause) != nil {
			return
		}
	}
}

// move renews the copy at its engine, or makes a new one at another engine, and reports whether it succeeded. A call in
// progress is not canceled when the run ends, because the copy could not be freed without its handle. It ends with ctx.
func (r *replicator) move(ctx context.Context) bool {
	holder, avoidAddress, err := r.pickTarget(r.ctx)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, moveTimeout)
	defer cancel()
	handle, err := r.copier.Copy(ctx, r.source.Address(), r.runID, holder.Address())
	if err != nil && r.ctx.Err() != nil {
		return false
	}
	r.mu.Lock()
	r.current, r.handle = kvCopy{holder: holder}, handle
	if err == nil {
		r.current.reference = r.source.Address() + "/" + handle
	}
	r.mu.Unlock()
	r.recordMove(holder, avoidAddress, err)
	return err == nil
}

// recordMove counts a move, and logs it unless it only renewed a copy, for which avoidAddress is empty.
func (r *replicator) recordMove(holder route.Choice, avoidAddress string, err error) {
	entry := r.server.Log.WithFields(logrus.Fields{
		"request": r.runID, "endpoint": r.source.Incarnation(), "lost": avoidAddress, "to": holder.Address(),
	})
	switch {
	case err != nil:
		r.server.Metrics.Count(telemetry.Copies, "failed")
		entry.WithError(err).Info("copy not moved")
	case avoidAddress != "":
		r.server.Metrics.Count(telemetry.Copies, "moved")
		entry.Info("copy moved")
	default:
		r.server.Metrics.Count(telemetry.Copies, "renewed")
	}
}

// pickTarget returns the engine of the current copy if that is a moved copy which is still usable. Otherwise it returns
// another engine and the address that was avoided: that of the lost engine, or of the engine of a failed move.
func (r *replicator) pickTarget(ctx context.Context) (holder route.Choice, avoidAddress string, err error) {
	r.mu.Lock()
	current, usable := r.current, r.handle != "" && r.copyUsable()
	r.mu.Unlock()
	if usable {
		return current.holder, "", nil
	}
	avoidAddress = current.holder.Address()
	holder, err = r.pickHolder(ctx, avoidAddress)
	return holder, avoidAddress, err
}

// stop ends the replication and returns the copy from which the next run can resume. It does not wait for a move in
// progress, whose copy releaseUnused frees.
func (r *replicator) stop() kvCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cancel()
	if r.current.reference != "" {
		r.resumeCopy = r.current
	}
	return r.resumeCopy
}

// resumable returns the copy that stop would return now.
func (r *replicator) resumable() kvCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.reference == "" {
		return kvCopy{}
	}
	return r.current
}

// releaseUnused frees a moved copy that stop has not offered to the next run. A copy that was offered is not freed
// here; if the next run does not use it, it expires.
func (r *replicator) releaseUnused(ctx context.Context) {
	r.mu.Lock()
	handle, offered := r.handle, r.resumeCopy.reference == r.current.reference
	r.mu.Unlock()
	if handle == "" || offered {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	r.copier.Release(ctx, r.source.Address(), handle)
}
