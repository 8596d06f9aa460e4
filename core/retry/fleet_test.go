package retry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/retry"
	"radishhollow/test/arrivals"
)

const (
	fleetSpan  = 10 * time.Second
	fleetRatio = 0.8
	// fleetSlack is the slack that the platform allows, and ownSlack the part of it that daemons use.
	fleetSlack = 150
	ownSlack   = 135
	fleetTick  = 20 * time.Millisecond
)

// fleet simulates daemons that share a retry budget. Each request asks for as many retries as the budget allows while
// failing is set.
type fleet struct {
	windows []*retry.Window // nil while the daemon is down
	known   []int           // what each daemon knows of the number of daemons
	perTick float64         // requests at each daemon
	random  *rand.Rand
	failing bool
	counter arrivals.Counter
	events  map[time.Duration][]func()
}

func newFleet(daemons int, perSecond float64, seed uint64) *fleet {
	f := &fleet{
		windows: make([]*retry.Window, daemons), known: make([]int, daemons), perTick: perSecond * fleetTick.Seconds(),
		random: rand.New(rand.NewPCG(seed, 0)), events: map[time.Duration][]func(){},
	}
	for i := range daemons {
		f.start(i)
		f.known[i] = daemons
	}
	return f
}

func (f *fleet) start(i int) {
	f.windows[i] = &retry.Window{
		Span: fleetSpan, Ratio: fleetRatio, Slack: ownSlack, Daemons: func() int { return f.known[i] }, Started: time.Now(),
	}
}

func (f *fleet) at(when time.Duration, event func()) {
	when = when.Truncate(fleetTick)
	f.events[when] = append(f.events[when], event)
}

// learn lets all daemons know the number of those that run.
func (f *fleet) learn() {
	running := 0
	for _, w := range f.windows {
		if w != nil {
			running++
		}
	}
	for i := range f.known {
		f.known[i] = running
	}
}

// restart ends a daemon and starts a new process after the pause. Until then, the other daemons learn of its end.
func (f *fleet) restart(i int, from, pause time.Duration) {
	f.at(from, func() { f.windows[i] = nil })
	f.at(from+pause, func() { f.learn(); f.start(i) })
	f.at(from+pause+time.Second, f.learn)
}

func (f *fleet) run(duration time.Duration) float64 {
	id := 0
	for now := time.Duration(0); now < duration; now += fleetTick {
		for _, event := range f.events[now] {
			event()
		}
		for _, w := range f.windows {
			if w == nil {
				continue
			}
			for n := f.perTick; n > 0 && f.random.Float64() < n; n-- {
				id++
				f.counter.Sent()
				f.counter.Arrived(fmt.Sprint(id))
				w.RecordRequest("service")
			}
			for f.failing && w.TakeRetry("service") {
				f.counter.Arrived(fmt.Sprint(id))
			}
		}
		time.Sleep(fleetTick)
	}
	return f.counter.OverBudget(fleetSpan, fleetRatio, fleetSlack)
}

// Guards against retries beyond the budget that all daemons share, if daemons end, are replaced, or know less of each other
// than usual while their endpoints fail.
func TestWindowFleet(t *testing.T) {
	const fails, lasts = 20 * time.Second, 20 * time.Second
	tests := map[string]func(f *fleet){
		"nothing": func(*fleet) {},
		"one dies": func(f *fleet) {
			f.at(fails+2*time.Second, func() { f.windows[0] = nil })
			f.at(fails+4*time.Second, f.learn)
		},
		"four die in turn": func(f *fleet) {
			for i := range 4 {
				f.at(fails+time.Duration(2*i+1)*time.Second, func() { f.windows[i] = nil; f.learn() })
			}
		},
		"one restarts": func(f *fleet) { f.restart(0, fails+time.Second, time.Second) },
		"five restart in turn": func(f *fleet) {
			for i := range f.windows {
				f.restart(i, fails+time.Duration(i+1)*time.Second, time.Second)
			}
		},
		"five restart together, twice": func(f *fleet) {
			for i := range f.windows {
				f.restart(i, fails+time.Second, time.Second)
				f.restart(i, fails+4*time.Second, time.Second)
			}
		},
		"one restarts again and again": func(f *fleet) {
			for n := range 30 {
				f.restart(0, fails+time.Duration(n)*400*time.Millisecond, 200*time.Millisecond)
			}
		},
		"each counts itself alone": func(f *fleet) {
			f.at(fails-10*time.Second, func() {
				for i := range f.known {
					f.known[i] = 1
				}
			})
		},
		"no daemon knows another": func(f *fleet) { clear(f.known) },
	}
	for name, prepare := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(5, 9, 1)
				f.at(fails, func() { f.failing = true })
				f.at(fails+lasts, func() { f.failing = false })
				prepare(f)
				require.LessOrEqual(t, f.run(fails+lasts+time.Second), 0.0)
				require.Positive(t, f.counter.Repeats())
			})
		})
	}
}

// Guards against the same with any series of ends, replacements and wrong counts, in fleets of any size.
func TestWindowRandomFleet(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				size := []int{1, 2, 5, 5, 5, 29, 118}[random.IntN(7)]
				f := newFleet(size, []float64{0.7, 3, 9}[random.IntN(3)], seed)
				for at := time.Duration(0); at < 50*time.Second; at += time.Duration(random.Int64N(int64(8 * time.Second))) {
					failing := random.IntN(2) == 0
					f.at(at, func() { f.failing = failing })
				}
				for range random.IntN(4 * size) {
					from, pause := time.Duration(random.Int64N(int64(45*time.Second))), time.Duration(random.Int64N(int64(3*time.Second)))
					switch i := random.IntN(size); random.IntN(3) {
					case 0:
						for n := range size {
							f.restart(n, from, pause)
						}
					case 1:
						f.at(from, func() { f.known[i] = random.IntN(size) })
					default:
						f.restart(i, from, pause)
					}
				}
				require.LessOrEqual(t, f.run(50*time.Second), 0.0)
			})
		})
	}
}
