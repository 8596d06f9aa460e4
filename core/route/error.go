package route

import (
	"fmt"

	"radishhollow/core/failure"
)

// Reason tells why no endpoint fits a Need.
type Reason string

// Reasons, ordered by how far the best endpoint got through the filters.
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

// NoEndpointError reports that no endpoint fits a Need. Nothing was sent.
type NoEndpointError struct {
	Kind   Kind
	Name   string
	Spec   string
	Reason Reason
}

// Error implements error.
func (e NoEndpointError) Error() string {
	return fmt.Sprintf("no endpoint for %s %q spec %q: %s", e.Kind, e.Name, e.Spec, e.Reason)
}

// Code implements failure.Failure.
func (e NoEndpointError) Code() string { return "no-endpoint" }

// Outcome implements failure.Failure.
func (e NoEndpointError) Outcome() failure.Outcome { return failure.NotRun }
