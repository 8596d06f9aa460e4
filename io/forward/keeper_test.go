package forward

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
	"radishhollow/io/telemetry"
)

// engines is a stand-in for the engines that a keeper copies between.
type engines struct {
	mu sync.Mutex
	// lost are addresses that nothing can be sent to, and full those that take no copy.
	lost, full map[string]bool
	moves      []string
	drops      []string
	// delay is the time that a move takes.
	delay time.Duration
}

func (e *engines) usable(address, _ string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.lost[address]
}

func (e *engines) move(ctx context.Context, _, _, to string) (string, error) {
	time.Sleep(e.delay)
	if ctx.Err() != nil {
		return "", ctx.Err()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.moves = append(e.moves, to)
	if e.full[to] {
		return "", errors.New("no room")
	}
	return "h", nil
}

func (e *engines) drop(_ context.Context, address, handle string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.drops = append(e.drops, address+"/"+handle)
}

func (e *engines) lose(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lost[address] = true
}

// newKeeper returns a keeper of a run at engine a with a copy at b. New copies go to c, or to d where c was lost.
func newKeeper(ctx context.Context, e *engines) *keeper {
	e.lost, e.full = map[string]bool{}, map[string]bool{}
	log := logrus.New()
	log.SetOutput(io.Discard)
	k := &keeper{
		server: &Server{
			Usable: e.usable, CopyKVCache: e.move, ReleaseKVCopy: e.drop, Log: log, Metrics: telemetry.New(),
		},
		run: "r", source: route.NewChoice("a", "1", "p", nil), moves: true, keepFor: 4 * time.Second,
		present: copied{holder: route.NewChoice("b", "1", "q", nil), from: "b/r"},
		pick: func(_ context.Context, lost string) (route.Choice, error) {
			if lost == "c" {
				return route.NewChoice("d", "1", "q", nil), nil
			}
			return route.NewChoice("c", "1", "q", nil), nil
		},
	}
	k.ctx, k.cancel = context.WithCancel(ctx)
	return k
}

// answerFor checks the keeper as an answer with many events does.
func answerFor(k *keeper, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		k.check()
	}
}

// Guards against prompts that are read again because the places of the copies and of the runs are lost one after the
// other. Load pattern: the engines of one place after the other crash, every few seconds.
func TestKeeperReplacesALostCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{}
		k := newKeeper(t.Context(), e)
		answerFor(k, time.Second)
		require.Empty(t, e.moves, "the copy is there")
		e.lose("b")
		answerFor(k, 5*time.Second)
		require.Equal(t, []string{"c", "c", "c"}, e.moves, "renewed before it expires")
		e.lose("c")
		answerFor(k, 2*time.Second)
		last := k.take()
		require.Equal(t, "d", last.holder.Address())
		require.Equal(t, "a/h", last.from)
		k.server.Close()
		require.Empty(t, e.drops, "what a run goes on from is not freed")

		late := newKeeper(t.Context(), e)
		late.server = k.server
		e.lose("b")
		moves := len(e.moves)
		answerFor(late, time.Second)
		require.Len(t, e.moves, moves, "nothing starts after Close")
	})
}

// Guards against a copy that takes a slot and memory of its engine after the run has ended, and against a search for an
// engine that does not end.
func TestKeeperEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{}
		ctx, cancel := context.WithCancel(t.Context())
		k := newKeeper(ctx, e)
		e.lose("b")
		answerFor(k, time.Second)
		cancel()
		k.server.Close()
		require.Equal(t, []string{"a/h"}, e.drops)

		e = &engines{}
		k = newKeeper(t.Context(), e)
		e.lose("b")
		e.full["c"], e.full["d"] = true, true
		answerFor(k, 10*time.Second)
		k.server.Close()
		require.Len(t, e.moves, maxMoves)
		require.Equal(t, "d", e.moves[1], "an engine without room is not asked twice in a row")
		require.Equal(t, copied{}, k.take())
	})
}

// Guards against a copy that nobody knows of, because its run ended while it was made.
func TestKeeperFreesACopyThatCameLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{delay: 300 * time.Millisecond}
		k := newKeeper(t.Context(), e)
		e.lose("b")
		k.check()
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, "b/r", k.take().from)
		k.server.Close()
		require.Equal(t, []string{"a/h"}, e.drops)
	})
}

// Guards against moves between engines that don't have them.
func TestKeeperWithoutMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{}
		k := newKeeper(t.Context(), e)
		k.moves = false
		e.lose("b")
		answerFor(k, time.Second)
		require.Empty(t, e.moves)
		require.Equal(t, "b/r", k.take().from)
	})
}
