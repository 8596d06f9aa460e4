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

// soakFault is one kind of fault. The function inject returns once the fault has been undone or the component has been
// replaced. Faults that are limited to a number of chunks or calls may still be in effect when it returns, and a sheet
// stays applied.
type soakFault struct {
	name   string
	inject func(ctx context.Context, r *rand.Rand)
}

// faultInjector injects faults. Each list of faults runs in its own goroutine, so that faults of different components
// overlap. Each field, except the embedded Soak, is used by only one of these goroutines.
type faultInjector struct {
	*Soak

	engines     []*Node
	services    []*Node
	sheetNumber int
}

// runFaults runs three lists of faults concurrently: those of the engines, those of the services and the configuration,
// and those of the platform and the daemons. The faults of one list are injected one after the other.
func (s *Soak) runFaults(ctx context.Context) {
	f := &faultInjector{
		Soak: s, engines: slices.Clone(s.fleet.EngineNodes()), services: slices.Clone(s.fleet.ServiceNodes()), sheetNumber: 1,
	}
	var group sync.WaitGroup
	for i, faults := range [][]soakFault{f.engineFaults(), f.serviceFaults(), f.platformFaults()} {
		group.Go(func() { f.runFaultList(ctx, s.newRandom(uint64(firstFaultSequence+i)), faults) })
	}
	group.Wait()
}

// runFaultList injects all faults of a list in each round, in a new random order, so that a short soak test covers most
// of them. A fault is counted before it is injected. Errors of the calls to the stand-ins that inject or undo faults
// are ignored.
func (f *faultInjector) runFaultList(ctx context.Context, r *rand.Rand, faults []soakFault) {
	// Faults must be undone at the stand-ins even after the load has ended.
	undoCtx := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		r.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
		for _, fault := range faults {
			if ctx.Err() != nil {
				return
			}
			f.updateResult(func(result *SoakResult) { result.Faults[fault.name]++ })
			fault.inject(undoCtx, r)
			sleep(ctx, 0.3*r.Float64())
		}
	}
}

func (f *faultInjector) engineFaults() []soakFault {
	chunks := 3
	injectInEngine := func(faults engine.Faults) func(context.Context, *rand.Rand) {
		return func(ctx context.Context, r *rand.Rand) { _ = InjectFault(ctx, f.pickEngine(r).Address(), faults) }
	}
	return []soakFault{
		{"engine-die", f.engineDie},
		{"engine-leave", f.engineLeave},
		{"engine-freeze", f.engineFreeze},
		{"engine-slow", f.engineSlow},
		{"engine-crossed", injectInEngine(engine.Faults{Crossed: &chunks})},
		{"engine-drop", injectInEngine(engine.Faults{Drop: &chunks})},
		{"engine-duplicate", injectInEngine(engine.Faults{Duplicate: &chunks})},
	}
}

func (f *faultInjector) serviceFaults() []soakFault {
	faultNextCalls := func(kind string) func(context.Context, *rand.Rand) {
		return func(ctx context.Context, r *rand.Rand) {
			body := map[string]any{"faults": []service.Fault{{Kind: kind, Count: 3, DelayMS: 200}}}
			_ = InjectFault(ctx, f.services[r.IntN(len(f.services))].Address(), body)
			sleep(ctx, 0.2)
		}
	}
	return []soakFault{
		{"service-die", f.serviceDie},
		{"service-run-then-503", faultNextCalls(service.RunThen503)},
		{"service-run-then-cut", faultNextCalls(service.RunThenCut)},
		{"service-cut-before", faultNextCalls(service.CutBefore)},
		{"service-refuse", faultNextCalls(service.Refuse)},
		{"service-delay-answer", faultNextCalls(service.DelayResponse)},
		{"sheet", f.applySheet},
	}
}

func (f *faultInjector) platformFaults() []soakFault {
	return []soakFault{
		{"platform-down", f.platformFault(platform.Faults{Down: true})},
		{"platform-slow", f.platformFault(platform.Faults{DelayMS: 300})},
		{"platform-lost-answers", f.platformFault(platform.Faults{LoseResponses: 5})},
		{"platform-frozen", f.platformFault(platform.Faults{FreezeState: true})},
		{"daemon-replace", f.daemonReplace},
	}
}

func (f *faultInjector) pickEngine(r *rand.Rand) *Node { return f.engines[r.IntN(len(f.engines))] }

func (f *faultInjector) engineDie(ctx context.Context, r *rand.Rand) {
	i := r.IntN(len(f.engines))
	f.engines[i].Kill()
	sleep(ctx, 0.3*r.Float64())
	f.replaceEngine(ctx, i)
}

func (f *faultInjector) engineLeave(ctx context.Context, r *rand.Rand) {
	i, leaving := r.IntN(len(f.engines)), true
	_ = InjectFault(ctx, f.engines[i].Address(), engine.Faults{Leaving: &leaving})
	sleep(ctx, 1)
	f.engines[i].Kill()
	f.replaceEngine(ctx, i)
}

func (f *faultInjector) replaceEngine(ctx context.Context, i int) {
	f.deregister(ctx, f.engines[i])
	f.engines[i] = f.startReplacement(ctx, f.fleet.AddEngine, f.fleet.EngineNodes)
}

// startReplacement starts a stand-in and returns it. If it cannot register because the platform has a fault, it is
// killed and another one is started. The row of the killed one may stay in the instance list, because a registration
// whose response is lost still takes effect.
func (f *faultInjector) startReplacement(ctx context.Context, start func(i int) error, nodes func() []*Node) *Node {
	for range maxSoakTries {
		err := start(len(nodes()))
		list := nodes()
		last := list[len(list)-1]
		if err == nil {
			return last
		}
		last.Kill()
		sleep(ctx, 0.1)
	}
	f.addViolation("bench", "a stand-in could not be added")
	list := nodes()
	return list[len(list)-1]
}

func (f *faultInjector) engineFreeze(ctx context.Context, r *rand.Rand) {
	node, on, off := f.pickEngine(r), true, false
	_ = InjectFault(ctx, node.Address(), engine.Faults{Freeze: &on})
	sleep(ctx, 0.3+1.5*r.Float64())
	_ = InjectFault(ctx, node.Address(), engine.Faults{Freeze: &off})
}

func (f *faultInjector) engineSlow(ctx context.Context, r *rand.Rand) {
	node, slow, normal := f.pickEngine(r), 4.0, 1.0
	_ = InjectFault(ctx, node.Address(), engine.Faults{SlowFactor: &slow})
	sleep(ctx, 0.5+r.Float64())
	_ = InjectFault(ctx, node.Address(), engine.Faults{SlowFactor: &normal})
}

func (f *faultInjector) serviceDie(ctx context.Context, r *rand.Rand) {
	i := r.IntN(len(f.services))
	f.services[i].Kill()
	f.deregister(ctx, f.services[i])
	f.services[i] = f.startReplacement(ctx, f.fleet.addService, f.fleet.ServiceNodes)
}

func (f *faultInjector) platformFault(faults platform.Faults) func(context.Context, *rand.Rand) {
	return func(ctx context.Context, r *rand.Rand) {
		_ = InjectFault(ctx, f.fleet.Platform(), faults)
		sleep(ctx, 0.3+r.Float64())
		_ = InjectFault(ctx, f.fleet.Platform(), platform.Faults{})
	}
}

// daemonReplace stops a daemon, whose streams resume at other daemons, and starts a new one.
func (f *faultInjector) daemonReplace(ctx context.Context, r *rand.Rand) {
	f.mu.Lock()
	i := r.IntN(len(f.daemons))
	old := f.daemons[i]
	f.daemons = slices.Delete(f.daemons, i, i+1)
	f.mu.Unlock()
	if err := old.Stop(); err != nil {
		f.addViolation("I7", "stop of a daemon: %v", err)
	}
	if err := f.fleet.AddDaemon(len(f.fleet.DaemonNodes())); err != nil {
		f.addViolation("bench", "add a daemon: %v", err)
		return
	}
	nodes := f.fleet.DaemonNodes()
	replacement := nodes[len(nodes)-1]
	for deadline := time.Now().Add(startTimeout); !replacement.isReady(ctx); {
		if time.Now().After(deadline) {
			f.addViolation("bench", "new daemon is not ready")
			return
		}
		sleep(ctx, 0.02)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.daemons = append(f.daemons, replacement)
}

// applySheet applies the next sheet at a random daemon. It ignores an error, because a failed apply may still have
// taken effect.
func (f *faultInjector) applySheet(ctx context.Context, r *rand.Rand) {
	f.sheetNumber++
	daemons := f.liveDaemons()
	applied, err := daemons[r.IntN(len(daemons))].Operator().Apply(
		ctx, GenerateSheet(f.sheetNumber, soakPlaces, 1, soakWorkspaces), nil)
	if err != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.result.Applied++
	f.acceptedRevision = max(f.acceptedRevision, applied.Revision)
}

// deregister removes an endpoint from the platform's instance list, as a platform does after an endpoint has ended.
func (f *faultInjector) deregister(ctx context.Context, n *Node) {
	query := url.Values{"address": {n.Address()}}
	for range maxSoakTries {
		if _, err := controlCall(ctx, http.MethodDelete, "http://"+f.fleet.Platform()+"/instances?"+query.Encode(), nil); err == nil {
			return
		}
		sleep(ctx, 0.1)
	}
}
