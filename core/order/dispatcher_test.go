package order_test

import (
	"context"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/lease"
	"radishhollow/core/order"
	"radishhollow/core/route"
)

// fakeEngines simulates the engines of a place, which take loadTime for an order and report it only after reportLag.
type fakeEngines struct {
	mu         sync.Mutex
	reports    map[string]route.Report
	loads      []time.Time // times of the orders that read from the weight store
	sends      int
	loading    int
	maxLoading int
	// loseEvery makes every n-th order fail without effect; zero loses none.
	loseEvery int
}

const (
	reportLag = 2 * time.Second
	loadTime  = 8 * time.Second
)

func newEngines(n int) *fakeEngines {
	e := &fakeEngines{reports: map[string]route.Report{}}
	for i := range n {
		address := strconv.Itoa(i)
		e.reports[address] = report(address, route.StateReady, "m@1")
	}
	return e
}

func (e *fakeEngines) list() []route.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []route.Report
	for _, r := range e.reports {
		list = append(list, r)
	}
	return list
}

func (e *fakeEngines) change(address string, change func(r *route.Report)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.reports[address]
	change(&r)
	e.reports[address] = r
}

func (e *fakeEngines) send(_ context.Context, o order.Order, _ uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sends++
	if o.Kind != order.Unload {
		e.loads = append(e.loads, time.Now())
	}
	if e.loseEvery > 0 && e.sends%e.loseEvery == 0 {
		return io.ErrUnexpectedEOF
	}
	if o.Kind == order.LoadModel {
		e.loading++
		e.maxLoading = max(e.maxLoading, e.loading)
	}
	time.AfterFunc(reportLag, func() { e.change(o.Address, func(r *route.Report) { r.State = route.StateLoading }) })
	time.AfterFunc(loadTime, func() {
		e.change(o.Address, func(r *route.Report) {
			r.State = route.StateReady
			if o.Kind == order.Unload {
				r.Specs = r.Specs[1:]
				return
			}
			r.Specs = append(append([]string{}, r.Specs...), o.Spec.String())
			if o.Kind == order.LoadModel {
				e.loading--
			}
		})
	})
	return nil
}

func startDispatcher(t *testing.T, d *order.Dispatcher) (stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = d.Run(ctx)
	}()
	return func() { cancel(); <-done; time.Sleep(loadTime) }
}

func newDispatcher(e *fakeEngines, perMinute float64) *order.Dispatcher {
	return &order.Dispatcher{
		Planner:  &order.Planner{Place: "liberia"},
		Document: func() config.Document { return document("2", perMinute) },
		Reports:  e.list,
		Check:    func(bool) (uint64, error) { return 7, nil },
		Send:     e.send,
	}
}

// Guards against a rollout that never completes when orders are lost, takes too many engines out of service, or exceeds
// this place's share of the weight store's rate limit.
func TestRollout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(8)
		e.loseEvery = 3
		stop := startDispatcher(t, newDispatcher(e, 40))
		time.Sleep(10 * time.Minute)
		stop()
		for _, r := range e.list() {
			require.Equal(t, []string{"m@2", "m@2+a@1"}, r.Specs)
		}
		require.LessOrEqual(t, e.maxLoading, 2)
		require.GreaterOrEqual(t, len(e.loads), 16)
		for i := range len(e.loads) - 1 {
			require.GreaterOrEqual(t, e.loads[i+1].Sub(e.loads[i]), 2900*time.Millisecond, "at most 20 loads per minute")
		}
		sends := e.sends
		stop = startDispatcher(t, newDispatcher(e, 40))
		time.Sleep(time.Minute)
		stop()
		require.Equal(t, sends, e.sends, "no order is sent once the reports match the configuration")
	})
}

// Guards against orders from an instance that does not hold the lease, or whose lease ends between two sends.
func TestOnlyHolderSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var holds atomic.Bool
		e := newEngines(8)
		d := newDispatcher(e, 0)
		d.Check = func(bool) (uint64, error) {
			if !holds.Load() {
				return 0, lease.NotHolderError{Place: "liberia"}
			}
			return 7, nil
		}
		d.Send = func(ctx context.Context, o order.Order, token uint64) error {
			holds.Store(false)
			return e.send(ctx, o, token)
		}
		stop := startDispatcher(t, d)
		time.Sleep(time.Minute)
		require.Zero(t, e.sends)
		holds.Store(true)
		time.Sleep(time.Minute)
		stop()
		require.Equal(t, 1, e.sends)
	})
}

// Guards against an order from an instance that was paused between the check of the lease and the send.
func TestPausedBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var expired atomic.Bool
		d := newDispatcher(newEngines(1), 0)
		d.Send = func(ctx context.Context, _ order.Order, _ uint64) error {
			time.Sleep(order.DefaultOrderTimeout + time.Second)
			expired.Store(ctx.Err() != nil)
			return ctx.Err()
		}
		stop := startDispatcher(t, d)
		time.Sleep(time.Minute)
		stop()
		require.True(t, expired.Load())
	})
}

// Guards against an order that waits for the end of an earlier lease and uses up the rate limit of other orders.
func TestWaitingOrderUsesNoRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngines(1)
		e.reports["x"] = report("x", route.StateReady, "n@1")
		d := newDispatcher(e, 2)
		d.Document = func() config.Document {
			fields := document("2", 2).Fields()
			fields.Models = append([]config.Model{{Name: "n", Version: "2"}}, fields.Models...)
			return config.NewDocument(2, fields)
		}
		d.Check = func(fencing bool) (uint64, error) {
			if !fencing {
				return 0, lease.WaitingOutError{Place: "liberia", Remaining: time.Second}
			}
			return 7, nil
		}
		stop := startDispatcher(t, d)
		time.Sleep(30 * time.Second)
		stop()
		require.Equal(t, 1, e.sends)
	})
}
