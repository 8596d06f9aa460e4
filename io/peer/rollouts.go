package peer

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"radishhollow/core/kv"
	"radishhollow/core/rollout"
	"radishhollow/io/peer/rpc"
)

// sentRollouts returns the roll-outs to send: all of them, or a random part if there are more than a view takes.
func (n *Node) sentRollouts() []rollout.State {
	if n.Rollouts == nil {
		return nil
	}
	states := n.Rollouts()
	if len(states) > maxSentRollouts {
		rand.Shuffle(len(states), func(i, j int) { states[i], states[j] = states[j], states[i] })
	}
	return states[:min(maxSentRollouts, len(states))]
}

func rolloutsToWire(states []rollout.State) []*rpc.Rollout {
	var rollouts []*rpc.Rollout
	for _, s := range states {
		rollouts = append(rollouts, &rpc.Rollout{
			Service: s.Service, Target: s.Target, OrderRevision: s.Revision.Number(), OrderEra: s.Revision.Era(),
			DurationMs: wholeMS(s.Duration), AgeMs: wholeMS(s.Age), Phase: uint32(s.Phase), PhaseAgeMs: wholeMS(s.PhaseAge),
			Reason: strings.ToValidUTF8(s.Reason[:min(maxStringBytes, len(s.Reason))], ""),
		})
	}
	return rollouts
}

// rolloutsFromWire leaves out roll-outs in a phase that this version does not know.
func rolloutsFromWire(rollouts []*rpc.Rollout) []rollout.State {
	var states []rollout.State
	for _, r := range rollouts {
		phase := rollout.Phase(r.GetPhase())
		if phase < rollout.Observing || phase > rollout.Completed {
			continue
		}
		states = append(states, rollout.State{
			Service: r.GetService(), Target: r.GetTarget(), Revision: kv.NewRevision(r.GetOrderEra(), r.GetOrderRevision()),
			Duration: fromMS(r.GetDurationMs()), Age: fromMS(r.GetAgeMs()), Phase: phase, PhaseAge: fromMS(r.GetPhaseAgeMs()),
			Reason: r.GetReason(),
		})
	}
	return states
}

// wholeMS returns the whole milliseconds of an age. Unlike with toMS, an age does not grow with every transfer: daemons take the
// highest age of a roll-out that any of them knows, which would then run ahead of the time.
func wholeMS(age time.Duration) uint32 {
	return uint32(min(max(age/time.Millisecond, 0), math.MaxUint32))
}

func areValidRollouts(rollouts []*rpc.Rollout) bool {
	for _, r := range rollouts {
		if r.GetService() == "" || r.GetTarget() == "" || r.GetOrderRevision() == 0 || r.GetDurationMs() == 0 ||
			!withinStringLimit(r.GetService(), r.GetTarget(), r.GetReason()) {
			return false
		}
	}
	return true
}

// mergeRollouts passes on the roll-outs of a merged view.
func (n *Node) mergeRollouts(states []rollout.State) {
	if n.MergeRollouts != nil {
		n.MergeRollouts(states)
	}
}
