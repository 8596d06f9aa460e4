package rollout

import (
	"time"

	"radishhollow/core/kv"
)

// Phase is the phase of a roll-out. It only advances.
type Phase uint32

// The phases in the order in which they advance. Completed comes after RolledBack because a daemon adopts it only when it
// is in the platform's store, which is authoritative.
const (
	// Observing sends a small part of the requests to the target.
	Observing Phase = 1 + iota
	// Shifting moves all requests to the target in steps.
	Shifting
	// RolledBack sends no request to the target.
	RolledBack
	// Completed sends all requests to the target.
	Completed
)

func (p Phase) String() string {
	switch p {
	case Observing:
		return "observing"
	case Shifting:
		return "shifting"
	case RolledBack:
		return "rolled-back"
	case Completed:
		return "completed"
	default:
		return "unknown"
	}
}

// IsFinal reports whether the roll-out has ended.
func (p Phase) IsFinal() bool { return p == RolledBack || p == Completed }

// State is the state of a roll-out as a daemon knows it, for the exchange with peers.
type State struct {
	Service, Target string
	// Revision is that of the order.
	Revision kv.Revision
	Duration time.Duration
	// Age is the time since any daemon first learned of the order.
	Age   time.Duration
	Phase Phase
	// PhaseAge is the time since the phase began.
	PhaseAge time.Duration
	// Reason tells why a roll-out was rolled back.
	Reason string
}

// StatusState is the state of a roll-out in its status.
type StatusState string

// The states of a status, as the platform's store has them.
const (
	StatusServing    StatusState = "serving"
	StatusCompleted  StatusState = "completed"
	StatusRolledBack StatusState = "rolled_back"
)

// IsFinal reports whether the state is one in which a roll-out ends.
func (s StatusState) IsFinal() bool { return s == StatusCompleted || s == StatusRolledBack }

// Status is what the operator reads of a roll-out.
type Status struct {
	State  StatusState
	Target string
}

// Endpoint is a listed endpoint of a service.
type Endpoint struct {
	Incarnation, Version string
	// Ready states that the endpoint takes requests.
	Ready bool
	// Registered is the revision of the endpoint's registration, or zero if it is not known.
	Registered kv.Revision
}

// Change reports that a roll-out has entered a phase, with the figures that decided it.
type Change struct {
	Service, Target string
	Revision        kv.Revision
	// From is the phase before, or 0 for a roll-out that is new to this daemon.
	From, To Phase
	Age      time.Duration
	// Reason tells what led to the change, in words for the log.
	Reason string
	// FromPeer states that a peer reported it; otherwise, this daemon decided it or read it from the store.
	FromPeer bool
	Figures  Figures
}

// Figures are the responses that a verdict was based on.
type Figures struct {
	// Route is the route with the strongest evidence against the target, "*" for all together, or empty.
	Route string
	// Kind is "failures", "slow" or "very slow", or empty.
	Kind string
	// TargetResponses and OtherResponses are those of the target and of the other versions, TargetBad and OtherBad the
	// failed or slow ones among them.
	TargetResponses, TargetBad, OtherResponses, OtherBad uint64
	// Endpoints and Daemons are the numbers of the target's endpoints and of the daemons with bad responses.
	Endpoints, Daemons int
}
