package engine_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/core/route"
	"radishhollow/io/engine"
)

// pollSeam stands in for engines; it counts calls and fails or hangs on request.
type pollSeam struct {
	mu     sync.Mutex
	calls  map[string]int
	after  []uint64
	failed map[string]bool
	hang   bool
	busy   int
	most   int
}

func (s *pollSeam) load(ctx context.Context, address string) (route.Report, error) {
	s.mu.Lock()
	s.calls[address]++
	sequence, failed, hang := s.calls[address], s.failed[address], s.hang
	s.busy++
	s.most = max(s.most, s.busy)
	s.mu.Unlock()
	if hang {
		<-ctx.Done()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	if failed || hang {
		return route.Report{}, kv.UnavailableError{Call: "load", Cause: ctx.Err()}
	}
	return route.Report{
		Incarnation: "1", State: route.StateReady, Sequence: uint64(sequence), Slots: 8, Specs: []string{"m@1"},
	}, nil
}

func (s *pollSeam) events(_ context.Context, _ string, after uint64) ([]route.CacheEvent, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.after = append(s.after, after)
	return nil, after + 10, nil
}

func (s *pollSeam) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func pollAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", 9000+i) }

func startPoller(t *testing.T, n int) (*engine.Poller, *pollSeam) {
	table := route.New("daemon", route.DefaultPolicy())
	var list []route.Listing
	for i := range n {
		list = append(list, route.Listing{Address: pollAddress(i), Incarnation: "1", Kind: route.KindModel, Name: "m"})
	}
	list = append(list, route.Listing{Address: pollAddress(99), Incarnation: "1", Kind: route.KindService, Name: "s"})
	table.Sync(list)
	s := &pollSeam{calls: make(map[string]int), failed: make(map[string]bool)}
	p := &engine.Poller{Table: table, Load: s.load, CacheEvents: s.events, Workers: 4}
	go func() { _ = p.Run(t.Context()) }()
	return p, s
}

// Guards against idle endpoints polled as often as busy ones, and against events read twice.
func TestPollerIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := startPoller(t, 2)
		synctest.Wait()
		c, err := p.Table.Pick(t.Context(), route.Criteria{Kind: route.KindModel, Name: "m"})
		require.NoError(t, err)
		time.Sleep(20 * time.Second)
		require.NoError(t, p.Close())
		idle := pollAddress(0)
		if c.Address() == idle {
			idle = pollAddress(1)
		}
		require.InDelta(t, 80, s.calls[c.Address()], 20)
		require.InDelta(t, 20, s.calls[idle], 4)
		require.Zero(t, s.calls[pollAddress(99)])
		require.Contains(t, s.after, uint64(100))
	})
}

// Guards against reports of idle endpoints that grow with the size of the subset.
func TestPollerIdleRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := startPoller(t, 100)
		time.Sleep(20 * time.Second)
		require.NoError(t, p.Close())
		total := 0
		for _, n := range s.calls {
			total += n
		}
		// All are read at once at the start, then 20 each second with jitter.
		require.Less(t, total, 100+20*25)
		require.Greater(t, total, 100+20*10)
	})
}

// Guards against work for an endpoint that doesn't answer, and against one that stays out after it returns.
func TestPollerReachability(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := startPoller(t, 1)
		need := route.Criteria{Kind: route.KindModel, Name: "m"}
		time.Sleep(time.Second)
		s.set(func() { s.failed[pollAddress(0)] = true })
		time.Sleep(5 * time.Second)
		_, err := p.Table.Pick(t.Context(), need)
		require.Error(t, err)
		require.False(t, p.Table.Alive(pollAddress(0)))
		s.set(func() { s.failed[pollAddress(0)] = false })
		time.Sleep(2 * time.Second)
		_, err = p.Table.Pick(t.Context(), need)
		require.NoError(t, err)
		require.NoError(t, p.Close())
	})
}

// Guards against frozen endpoints that hold more calls than the pool has workers, and against a Close that hangs.
func TestPollerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, s := startPoller(t, 20)
		s.set(func() { s.hang = true })
		time.Sleep(10 * time.Second)
		require.NoError(t, p.Close())
		require.LessOrEqual(t, s.most, 4)
		require.Len(t, s.calls, 20)
		require.NoError(t, p.Run(t.Context()), "Run after Close ends at once")
	})
}
