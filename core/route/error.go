package route

import (
	"fmt"
	"math/rand/v2"
	"time"

	"radishhollow/core/failure"
)

// Reason is why no endpoint meets the Criteria.
type Reason string

// Reasons, in the order of the filters that reject an endpoint.
const (
	ReasonNone          Reason = ""
	ReasonUnlisted      Reason = "not-listed"
	ReasonExcluded      Reason = "excluded"
	ReasonVersion       Reason = "version-not-allowed"
	ReasonMarked        Reason = "leaving-or-dead"
	ReasonResting       Reason = "resting"
	ReasonLimited       Reason = "limited"
	ReasonNotReady      Reason = "not-ready"
	ReasonSpecNotLoaded Reason = "spec-not-loaded"
	ReasonCircuitOpen   Reason = "circuit-open"
	ReasonHeadroom      Reason = "headroom"
)

// NoEndpointError reports that no endpoint meets the Criteria. Nothing was sent.
type NoEndpointError struct {
	Kind   Kind
	Name   string
	Spec   string
	Reason Reason
}

func (e NoEndpointError) Error() string {
	return fmt.Sprintf("no endpoint for %s %q spec %q: %s", e.Kind, e.Name, e.Spec, e.Reason)
}

func (e NoEndpointError) Code() string { return "no-endpoint" }

func (e NoEndpointError) Outcome() failure.Outcome { return failure.NotRun }

// RestingError reports that the endpoints that could serve want no requests from this daemon at present. Nothing was sent.
type RestingError struct {
	Kind Kind
	Name string
	// Left is the time until the first of them returns.
	Left time.Duration
}

func (e RestingError) Error() string {
	return fmt.Sprintf("the endpoints of %s %q rest; the first returns in %s", e.Kind, e.Name, e.Left)
}

func (e RestingError) Code() string { return "endpoints-resting" }

func (e RestingError) Outcome() failure.Outcome { return failure.NotRun }

// RetryAfter returns a random time after the return of the first endpoint, so that callers do not return together.
func (e RestingError) RetryAfter() time.Duration { return e.Left + rand.N(e.Left/4+minRetrySpread) }

// LimitedError reports that the endpoints that could serve have named limits of their requests that leave no place at present.
// Nothing was sent.
type LimitedError struct {
	Kind Kind
	Name string
	// Left is the time until one of them takes another request.
	Left time.Duration
}

func (e LimitedError) Error() string {
	return fmt.Sprintf("the limits of the endpoints of %s %q leave no place for %s", e.Kind, e.Name, e.Left)
}

func (e LimitedError) Code() string { return "endpoints-limited" }

func (e LimitedError) Outcome() failure.Outcome { return failure.NotRun }

// RetryAfter returns a random time after the next free place, so that callers do not return together.
func (e LimitedError) RetryAfter() time.Duration { return e.Left + rand.N(e.Left/4+minRetrySpread) }

// minRetrySpread is the shortest interval over which RestingError and LimitedError spread callers.
const minRetrySpread = 500 * time.Millisecond
