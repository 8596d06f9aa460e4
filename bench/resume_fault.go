package bench

import (
	"context"
	"time"

	"radishhollow/standin/engine"
)

// Faults of the resume experiment.
const (
	FaultNone    = "none"
	FaultDie     = "die"
	FaultFreeze  = "freeze"
	FaultSlow    = "slow"
	FaultGradual = "slow-gradual"
	FaultPlace   = "place"
)

const (
	// slowFactor lies within the factor of 2 to 3 that load causes.
	slowFactor = 2.5
	slowSteps  = 6
	slowPause  = 250 * time.Millisecond
	// freezeFor lets a frozen engine wake while its streams run elsewhere.
	freezeFor = 4 * time.Second
)

// targets returns the engines that the fault meets: one, or all of one place.
func (r *Resume) targets() []*Node {
	nodes := r.fleet.EngineNodes()
	first := nodes[int(r.seed)%len(nodes)]
	if r.Fault != FaultPlace && r.Fault != FaultSlow && r.Fault != FaultGradual {
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

// strike applies the fault and records the answers that it meets.
func (r *Resume) strike(ctx context.Context) error {
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
			r.gone = append(r.gone, stats)
		}
	}
	if r.Fault == FaultNone {
		return nil
	}
	r.struck = time.Now()
	r.faulty.set(addresses, r.Fault != FaultSlow && r.Fault != FaultGradual)
	r.load.MarkHit(addresses)
	return r.apply(ctx, targets)
}

func (r *Resume) apply(ctx context.Context, targets []*Node) error {
	send := func(f engine.Faults) error {
		for _, n := range targets {
			if err := Fault(ctx, n.Address(), f); err != nil {
				return err
			}
		}
		return nil
	}
	yes, no := true, false
	switch r.Fault {
	case FaultDie, FaultPlace:
		return send(engine.Faults{Die: true})
	case FaultFreeze:
		if err := send(engine.Faults{Freeze: &yes}); err != nil {
			return err
		}
		time.Sleep(freezeFor)
		return send(engine.Faults{Freeze: &no})
	case FaultGradual:
		for step := range slowSteps {
			factor := 1 + (slowFactor-1)*float64(step+1)/slowSteps
			if err := send(engine.Faults{SlowFactor: &factor}); err != nil {
				return err
			}
			time.Sleep(slowPause)
		}
		return nil
	default:
		factor := slowFactor
		return send(engine.Faults{SlowFactor: &factor})
	}
}
