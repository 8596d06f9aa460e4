package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"radishhollow/standin/engine"
	"radishhollow/standin/platform"
	"radishhollow/standin/service"
)

// soakFault is one kind of fault. It returns after its time, with the fault undone or the part replaced.
type soakFault struct {
	name string
	hit  func(ctx context.Context, r *rand.Rand)
}

// faulter injects faults. Each list of faults runs in a goroutine of its own, so that faults of different parts overlap;
// the fields are used by one of them each.
type faulter struct {
	*Soak

	engines  []*Node
	services []*Node
	number   int
}

// runFaults hits engines, services and sheets, and the platform at the same time.
func (s *Soak) runFaults(ctx context.Context) {
	f := &faulter{
		Soak: s, engines: slices.Clone(s.fleet.EngineNodes()), services: slices.Clone(s.fleet.ServiceNodes()), number: 1,
	}
	var group sync.WaitGroup
	for i, faults := range [][]soakFault{f.engineFaults(), f.serviceFaults(), f.platformFaults()} {
		group.Go(func() { f.runList(ctx, s.random(uint64(1+i)), faults) })
	}
	group.Wait()
}

// runList hits with all faults of a list in a new order each round, so that a short soak sees most of them.
func (f *faulter) runList(ctx context.Context, r *rand.Rand, faults []soakFault) {
	// What is undone must reach the stand-ins after the end of the load too.
	undo := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		r.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
		for _, fault := range faults {
			if ctx.Err() != nil {
				return
			}
			f.record(func(result *SoakResult) { result.Faults[fault.name]++ })
			fault.hit(undo, r)
			pause(ctx, 0.3*r.Float64())
		}
	}
}

func (f *faulter) engineFaults() []soakFault {
	some := 3
	set := func(faults engine.Faults) func(context.Context, *rand.Rand) {
		return func(ctx context.Context, r *rand.Rand) { _ = Fault(ctx, f.engine(r).Address(), faults) }
	}
	return []soakFault{
		{"engine-die", f.engineDie},
		{"engine-leave", f.engineLeave},
		{"engine-freeze", f.engineFreeze},
		{"engine-slow", f.engineSlow},
		{"engine-crossed", set(engine.Faults{Crossed: &some})},
		{"engine-drop", set(engine.Faults{Drop: &some})},
		{"engine-duplicate", set(engine.Faults{Duplicate: &some})},
	}
}

func (f *faulter) serviceFaults() []soakFault {
	nextCalls := func(kind string) func(context.Context, *rand.Rand) {
		return func(ctx context.Context, r *rand.Rand) {
			body := map[string]any{"faults": []service.Fault{{Kind: kind, Count: 3, DelayMS: 200}}}
			_ = Fault(ctx, f.services[r.IntN(len(f.services))].Address(), body)
			pause(ctx, 0.2)
		}
	}
	return []soakFault{
		{"service-die", f.serviceDie},
		{"service-run-then-503", nextCalls(service.RunThen503)},
		{"service-run-then-cut", nextCalls(service.RunThenCut)},
		{"service-cut-before", nextCalls(service.CutBefore)},
		{"service-refuse", nextCalls(service.Refuse)},
		{"service-delay-answer", nextCalls(service.DelayAnswer)},
		{"sheet", f.sheet},
	}
}

func (f *faulter) platformFaults() []soakFault {
	return []soakFault{
		{"platform-down", f.platformFault(platform.Faults{Down: true})},
		{"platform-slow", f.platformFault(platform.Faults{DelayMS: 300})},
		{"platform-lost-answers", f.platformFault(platform.Faults{LoseAnswers: 5})},
		{"platform-frozen", f.platformFault(platform.Faults{FreezeState: true})},
		{"daemon-replace", f.daemonReplace},
	}
}

func (f *faulter) engine(r *rand.Rand) *Node { return f.engines[r.IntN(len(f.engines))] }

func (f *faulter) engineDie(ctx context.Context, r *rand.Rand) {
	i := r.IntN(len(f.engines))
	f.engines[i].Kill()
	pause(ctx, 0.3*r.Float64())
	f.replaceEngine(ctx, i)
}

func (f *faulter) engineLeave(ctx context.Context, r *rand.Rand) {
	i, leaving := r.IntN(len(f.engines)), true
	_ = Fault(ctx, f.engines[i].Address(), engine.Faults{Leaving: &leaving})
	pause(ctx, 1)
	f.engines[i].Kill()
	f.replaceEngine(ctx, i)
}

func (f *faulter) replaceEngine(ctx context.Context, i int) {
	f.unlist(ctx, f.engines[i])
	f.engines[i] = f.add(ctx, f.fleet.AddEngine, f.fleet.EngineNodes)
}

// add starts a stand-in; one that could not register while the platform has a fault is given up for the next.
func (f *faulter) add(ctx context.Context, start func(i int) error, nodes func() []*Node) *Node {
	for range maxSoakTries {
		err := start(len(nodes()))
		list := nodes()
		last := list[len(list)-1]
		if err == nil {
			return last
		}
		last.Kill()
		pause(ctx, 0.1)
	}
	f.breaks("bench", "a stand-in could not be added")
	list := nodes()
	return list[len(list)-1]
}

func (f *faulter) engineFreeze(ctx context.Context, r *rand.Rand) {
	node, on, off := f.engine(r), true, false
	_ = Fault(ctx, node.Address(), engine.Faults{Freeze: &on})
	pause(ctx, 0.3+1.5*r.Float64())
	_ = Fault(ctx, node.Address(), engine.Faults{Freeze: &off})
}

func (f *faulter) engineSlow(ctx context.Context, r *rand.Rand) {
	node, slow, normal := f.engine(r), 4.0, 1.0
	_ = Fault(ctx, node.Address(), engine.Faults{SlowFactor: &slow})
	pause(ctx, 0.5+r.Float64())
	_ = Fault(ctx, node.Address(), engine.Faults{SlowFactor: &normal})
}

func (f *faulter) serviceDie(ctx context.Context, r *rand.Rand) {
	i := r.IntN(len(f.services))
	f.services[i].Kill()
	f.unlist(ctx, f.services[i])
	f.services[i] = f.add(ctx, f.fleet.addService, f.fleet.ServiceNodes)
}

func (f *faulter) platformFault(faults platform.Faults) func(context.Context, *rand.Rand) {
	return func(ctx context.Context, r *rand.Rand) {
		_ = Fault(ctx, f.fleet.Platform(), faults)
		pause(ctx, 0.3+r.Float64())
		_ = Fault(ctx, f.fleet.Platform(), platform.Faults{})
	}
}

// daemonReplace stops a daemon, whose streams go on elsewhere, and starts another one.
func (f *faulter) daemonReplace(ctx context.Context, r *rand.Rand) {
	f.mu.Lock()
	i := r.IntN(len(f.daemons))
	old := f.daemons[i]
	f.daemons = slices.Delete(f.daemons, i, i+1)
	f.mu.Unlock()
	if err := old.Stop(); err != nil {
		f.breaks("I7", "stop of a daemon: %v", err)
	}
	if err := f.fleet.AddDaemon(len(f.fleet.DaemonNodes())); err != nil {
		f.breaks("bench", "add a daemon: %v", err)
		return
	}
	nodes := f.fleet.DaemonNodes()
	fresh := nodes[len(nodes)-1]
	for deadline := time.Now().Add(startTimeout); !fresh.ready(ctx); {
		if time.Now().After(deadline) {
			f.breaks("bench", "new daemon is not ready")
			return
		}
		pause(ctx, 0.02)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, fresh)
}

// sheet applies the next sheet. An apply that fails may have taken effect.
func (f *faulter) sheet(ctx context.Context, r *rand.Rand) {
	f.number++
	daemons := f.live()
	applied, err := daemons[r.IntN(len(daemons))].Operator().Apply(
		ctx, Sheet(f.number, soakPlaces, 1, soakWorkspaces), nil)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.Applied++
	f.accepted = max(f.accepted, applied.Revision)
}

// unlist removes an endpoint from the platform's list, as a platform does with one that has ended.
func (f *faulter) unlist(ctx context.Context, n *Node) {
	query := url.Values{"address": {n.Address()}}
	for range maxSoakTries {
		if _, err := call(ctx, http.MethodDelete, "http://"+f.fleet.Platform()+"/instances?"+query.Encode(), nil); err == nil {
			return
		}
		pause(ctx, 0.1)
	}
}
