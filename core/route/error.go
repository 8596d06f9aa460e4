package route

import (
	"fmt"

	"radishhollow/core/failure"
)

// Reason is why no endpoint meets the Criteria.
type Reason string

// Reasons, in the order of the filters that reject an endpoint.
const (
	ReasonNone          Reason = ""
	ReasonUnlisted      Reason = "not-listed"
	ReasonExcluded      Reason = "excluded"
	ReasonMarked        Reason = "leaving-or-dead"
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
