package bench

import (
	"context"
	"time"

	"radishhollow/standin/engine"
)

// Faults of the resume experiment. FaultDie kills one engine and FaultPlace all engines of a place. FaultFreeze freezes
// one engine for freezeDuration. FaultSlow slows all engines of a place at once, and FaultSlowGradual in steps.
const (
	FaultNone        = "none"
	FaultDie         = "die"
	FaultFreeze      = "freeze"
	FaultSlow        = "slow"
	FaultSlowGradual = "slow-gradual"
	FaultPlace       = "place"
)

const (
	// slowFactor is the slowdown of an engine. It is within the factor of 2 to 3 that load alone causes.
	slowFactor = 2.5
	// slowSteps is the number of steps in which FaultSlowGradual reaches slowFactor.
	slowSteps        = 6
	slowStepInterval = 250 * time.Millisecond
	// freezeDuration is chosen so that a frozen engine continues while its streams already run on other engines.
	freezeDuration = 4 * time.Second
)

// targets returns the engines to which the fault applies: one engine, or all engines of one place.
func (r *Resume) targets() []*Node {
	nodes := r.fleet.EngineNodes()
	first := nodes[int(r.seed)%len(nodes)]
	if r.Fault != FaultPlace && r.Fault != FaultSlow && r.Fault != FaultSlowGradual {
		return []*Node{first}
	}
	var all []*Node
	for _, n := range nodes {
		if n.Place() == first.Place() {
			all = append(all, n)
		}
	}
	return all
}

// injectFault injects the fault and marks the requests that it affects.
func (r *Resume) injectFault(ctx context.Context) error {
	targets := r.targets()
	var addresses []string
	for _, n := range targets {
		addresses = append(addresses, n.Address())
	}
	if r.Fault == FaultDie || r.Fault == FaultPlace {
		for _, n := range targets {
			stats, err := EngineStats(ctx, n.Address())
			if err != nil {
				return err
			}
			r.killedStats = append(r.killedStats, stats)
		}
	}
	if r.Fault == FaultNone {
		return nil
	}
	r.faultedAt = time.Now()
	r.stopped.set(addresses, r.Fault != FaultSlow && r.Fault != FaultSlowGradual)
	r.load.MarkAffected(addresses)
	return r.applyFault(ctx, targets)
}

func (r *Resume) applyFault(ctx context.Context, targets []*Node) error {
	send := func(f engine.Faults) error {
		for _, n := range targets {
			if err := InjectFault(ctx, n.Address(), f); err != nil {
				return err
			}
		}
		return nil
	}
	on, off := true, false
	switch r.Fault {
	case FaultDie, FaultPlace:
		return send(engine.Faults{Die: true})
	case FaultFreeze:
		if err := send(engine.Faults{Freeze: &on}); err != nil {
			return err
		}
		time.Sleep(freezeDuration)
		return send(engine.Faults{Freeze: &off})
	case FaultSlowGradual:
		for step := range slowSteps {
			factor := 1 + (slowFactor-1)*float64(step+1)/slowSteps
			if err := send(engine.Faults{SlowFactor: &factor}); err != nil {
				return err
			}
			time.Sleep(slowStepInterval)
		}
		return nil
	default:
		factor := slowFactor
		return send(engine.Faults{SlowFactor: &factor})
	}
}
