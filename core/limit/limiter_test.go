package limit_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/core/limit"
)

var totalLimits = config.Workspace{Name: "a", RequestsPerSecond: 100, TokensPerSecond: 10000, Concurrency: 37}

// fleet is a set of daemons that receive each other's demand with a delay.
type fleet struct {
	daemons []*limit.Limiter
	views   []map[int]limit.PeerDemand
	pending []delivery
}

type delivery struct {
	at       time.Time
	from, to int
	demand   map[string]limit.Demand
}

func newFleet(n int) *fleet {
	f := &fleet{}
	for i := range n {
		l := &limit.Limiter{Address: fmt.Sprint(i)}
		l.Apply([]config.Workspace{totalLimits})
		f.daemons = append(f.daemons, l)
		f.views = append(f.views, make(map[int]limit.PeerDemand))
		for j := range n {
			f.views[i][j] = limit.PeerDemand{Address: fmt.Sprint(j), Fresh: true}
		}
	}
	f.deliver()
	return f
}

func (f *fleet) publish(from int, delay func() time.Duration) {
	demand := f.daemons[from].PublishDemand()
	for to := range f.daemons {
		if to != from {
			f.pending = append(f.pending, delivery{time.Now().Add(delay()), from, to, demand})
		}
	}
}

func (f *fleet) deliver() {
	var later []delivery
	for _, d := range f.pending {
		if d.at.After(time.Now()) {
			later = append(later, d)
			continue
		}
		f.views[d.to][d.from] = limit.PeerDemand{Address: fmt.Sprint(d.from), Fresh: true, PerWorkspace: d.demand}
	}
	f.pending = later
	for i, l := range f.daemons {
		var list []limit.PeerDemand
		for _, p := range f.views[i] {
			list = append(list, p)
		}
		l.ObservePeers(list)
	}
}

func (f *fleet) sum() (sum limit.Demand) {
	for _, l := range f.daemons {
		share, _ := l.Share("a")
		sum.RequestsPerSecond += share.RequestsPerSecond
		sum.TokensPerSecond += share.TokensPerSecond
		sum.Concurrency += share.Concurrency
	}
	return sum
}

// Guards against shares that add up to more than the limit while demand changes and the daemons' views differ.
func TestSharesStayWithinTotal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 6).Draw(rt, "daemons")
		load := rapid.SliceOfN(rapid.IntRange(0, 40), 60, 60).Draw(rt, "load")
		// The period of 1 s and the longest delay together stay below DefaultPropagationDelay.
		delays := rapid.SliceOfN(rapid.IntRange(0, 1900), 20, 20).Draw(rt, "delays")
		var excess []string
		synctest.Test(t, func(*testing.T) {
			f, draws := newFleet(n), 0
			delay := func() time.Duration {
				draws++
				return time.Duration(delays[draws%len(delays)]) * time.Millisecond
			}
			for step := range 120 {
				for i, l := range f.daemons {
					for range load[(step/3*n+i)%len(load)] {
						_, _ = l.Admit("a", 50)
					}
				}
				if step%4 == 0 {
					for i := range f.daemons {
						f.publish(i, delay)
					}
				}
				f.deliver()
				sum := f.sum()
				if sum.RequestsPerSecond > totalLimits.RequestsPerSecond*1.000001 ||
					sum.TokensPerSecond > totalLimits.TokensPerSecond*1.000001 || sum.Concurrency > totalLimits.Concurrency {
					excess = append(excess, fmt.Sprintf("step %d: %+v", step, sum))
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
		require.Empty(rt, excess)
	})
}

// Guards against shares that ignore demand, and against a share above the even division while a peer is stale or before
// the propagation delay is over.
func TestSharesFollowDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4)
		noDelay := func() time.Duration { return 0 }
		for range 20 {
			for range 20 {
				if release, err := f.daemons[0].Admit("a", 10); err == nil {
					release(10)
				}
			}
			for i := range f.daemons {
				f.publish(i, noDelay)
			}
			f.deliver()
			time.Sleep(time.Second)
		}
		share, _ := f.daemons[0].Share("a")
		require.InDelta(t, 85, share.RequestsPerSecond, 0.1)
		f.views[0][1] = limit.PeerDemand{Address: "1"}
		f.deliver()
		share, _ = f.daemons[0].Share("a")
		require.InDelta(t, 25, share.RequestsPerSecond, 0.1)
		require.Equal(t, 10, share.Concurrency)
		delete(f.views[0], 1)
		f.deliver()
		share, _ = f.daemons[0].Share("a")
		require.InDelta(t, 25, share.RequestsPerSecond, 0.1, "a share grows only after the propagation delay")
	})
}

// Guards against requests above a limit, and against a refusal without a retry delay.
func TestAdmit(t *testing.T) {
	tests := []struct {
		name      string
		workspace config.Workspace
		tokens    int
		admitted  int
		limit     string
	}{
		{name: "requests", workspace: config.Workspace{RequestsPerSecond: 5}, admitted: 5, limit: "requests-per-second"},
		{name: "tokens", workspace: config.Workspace{TokensPerSecond: 100}, tokens: 30, admitted: 3, limit: "tokens-per-second"},
		{name: "above burst", workspace: config.Workspace{TokensPerSecond: 100}, tokens: 500, admitted: 1, limit: "tokens-per-second"},
		{name: "concurrency", workspace: config.Workspace{Concurrency: 4}, admitted: 4, limit: "concurrency"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &limit.Limiter{Address: "x"}
				tt.workspace.Name = "a"
				l.Apply([]config.Workspace{tt.workspace})
				n := 0
				var err error
				for ; err == nil; n++ {
					_, err = l.Admit("a", tt.tokens)
				}
				var limited limit.LimitedError
				require.ErrorAs(t, err, &limited)
				require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
				require.Equal(t, tt.limit, limited.Limit)
				require.Equal(t, tt.admitted, n-1)
				require.Positive(t, limited.RetryAfter)
				if tt.limit != "concurrency" {
					time.Sleep(limited.RetryAfter + time.Millisecond)
					_, err = l.Admit("a", tt.tokens)
					require.NoError(t, err)
				}
			})
		})
	}
	_, err := (&limit.Limiter{}).Admit("nobody", 1)
	require.Error(t, err)
}

// Guards against keeping the estimated charge when the request used more or fewer tokens, and against settling twice.
func TestSettlement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &limit.Limiter{}
		l.Apply([]config.Workspace{{Name: "a", TokensPerSecond: 100}})
		release, err := l.Admit("a", 100)
		require.NoError(t, err)
		release(40)
		release(0)
		second, err := l.Admit("a", 60)
		require.NoError(t, err, "unused tokens are credited")
		_, err = l.Admit("a", 1)
		require.Error(t, err)
		second(360)
		var limited limit.LimitedError
		_, err = l.Admit("a", 1)
		require.ErrorAs(t, err, &limited)
		require.InDelta(t, 3, limited.RetryAfter.Seconds(), 0.1, "tokens above the estimate are charged")
	})
}

func BenchmarkAdmit(b *testing.B) {
	l := &limit.Limiter{}
	l.Apply([]config.Workspace{{Name: "a", RequestsPerSecond: math.MaxInt32, TokensPerSecond: math.MaxInt32}})
	b.ReportAllocs()
	for b.Loop() {
		if release, err := l.Admit("a", 10); err == nil {
			release(10)
		}
	}
}

// BenchmarkObservePeers uses the planned size: 760 workspaces and 440 daemons, each with demand for 76 workspaces.
func BenchmarkObservePeers(b *testing.B) {
	l := &limit.Limiter{Address: "x"}
	var list []config.Workspace
	demand := make(map[string]limit.Demand)
	for i := range 760 {
		w := totalLimits
		w.Name = fmt.Sprint(i)
		list = append(list, w)
		if i%10 == 0 {
			demand[w.Name] = limit.Demand{RequestsPerSecond: 1, TokensPerSecond: 100, Concurrency: 3}
		}
	}
	l.Apply(list)
	var peers []limit.PeerDemand
	for i := range 440 {
		peers = append(peers, limit.PeerDemand{Address: fmt.Sprint(i), Fresh: true, PerWorkspace: demand})
	}
	b.ReportAllocs()
	for b.Loop() {
		l.ObservePeers(peers)
	}
}
