package forward

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// strandedCode is the code by which a peer tells that it reaches no endpoint either.
const strandedCode = "stranded"

// StrandedError reports a request that was not sent because this daemon reaches no endpoint.
type StrandedError struct{}

func (e StrandedError) Error() string { return "this daemon reaches no endpoint" }

func (e StrandedError) Code() string { return strandedCode }

func (e StrandedError) Outcome() failure.Outcome { return failure.NotRun }

// NoHelperError reports that no peer is known that could serve a request in place of this daemon.
type NoHelperError struct{}

func (e NoHelperError) Error() string {
	return "this daemon reaches no endpoint, and no peer that does is known"
}

func (e NoHelperError) Code() string { return "no-helper" }

func (e NoHelperError) Outcome() failure.Outcome { return failure.NotRun }

// DelegationLimitError reports a peer's request beyond the number that this daemon serves at the same time.
type DelegationLimitError struct{ Limit int }

func (e DelegationLimitError) Error() string {
	return fmt.Sprintf("%d requests of peers are being served", e.Limit)
}

func (e DelegationLimitError) Code() string { return "delegations-limited" }

func (e DelegationLimitError) Outcome() failure.Outcome { return failure.NotRun }

// PeerRefusalError reports a peer that has not served a request, with its reason.
type PeerRefusalError struct {
	Peer   string
	Status int
	Reason string
	Result failure.Outcome
	// After is the time after which the peer tells the caller to return, or 0.
	After time.Duration
}

func (e PeerRefusalError) Error() string {
	return fmt.Sprintf("peer %s answered %d: %s", e.Peer, e.Status, e.Reason)
}

func (e PeerRefusalError) Code() string { return "peer-refused" }

func (e PeerRefusalError) Outcome() failure.Outcome { return e.Result }

// RetryAfter returns the time that the peer has stated, or that of an endpoint's restart.
func (e PeerRefusalError) RetryAfter() time.Duration {
	if e.After > 0 {
		return e.After
	}
	return jitteredRetryAfter()
}

// DelegationLostError reports a peer that has not answered whole. Peer is empty if none was asked again.
type DelegationLostError struct {
	Peer   string
	Result failure.Outcome
	Cause  error
}

func (e DelegationLostError) Error() string {
	return fmt.Sprintf("request delegated to %q is lost: %v", e.Peer, e.Cause)
}

func (e DelegationLostError) Unwrap() error { return e.Cause }

func (e DelegationLostError) Code() string { return "delegation-lost" }

func (e DelegationLostError) Outcome() failure.Outcome { return e.Result }
