package operator

import (
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"radishhollow/core/config"
	"radishhollow/core/failure"
)

// KeyError reports a missing or wrong operator key.
type KeyError struct{}

// Error implements error.
func (KeyError) Error() string { return "the operator key is missing or wrong" }

// Code implements failure.Failure.
func (KeyError) Code() string { return "operator-key" }

// Outcome implements failure.Failure.
func (KeyError) Outcome() failure.Outcome { return failure.NotRun }

// BaseError reports a base that is not a revision.
type BaseError struct{ Value string }

// Error implements error.
func (e BaseError) Error() string { return fmt.Sprintf("base %q is not a revision number", e.Value) }

// Code implements failure.Failure.
func (e BaseError) Code() string { return "malformed-base" }

// Outcome implements failure.Failure.
func (e BaseError) Outcome() failure.Outcome { return failure.NotRun }

// RefusedError is a Problem that an entry answered with.
type RefusedError struct {
	Status  int
	Problem Problem
}

// Error implements error.
func (e RefusedError) Error() string { return e.Problem.Message }

// Code implements failure.Failure.
func (e RefusedError) Code() string { return e.Problem.Code }

// Outcome implements failure.Failure.
func (e RefusedError) Outcome() failure.Outcome {
	if e.Problem.Outcome == failure.NotRun.String() {
		return failure.NotRun
	}
	return failure.Unknown
}

// UnreachableError reports an entry that gave no usable answer.
type UnreachableError struct {
	Entry string
	Cause error
}

// Error implements error.
func (e UnreachableError) Error() string {
	return fmt.Sprintf("entry %s gives no usable answer: %v; try another entry", e.Entry, e.Cause)
}

// Unwrap returns the cause.
func (e UnreachableError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e UnreachableError) Code() string { return "entry-unreachable" }

// Outcome implements failure.Failure.
func (e UnreachableError) Outcome() failure.Outcome { return failure.Unknown }

// statusOf maps codes to HTTP status codes.
var statusOf = map[string]int{
	"operator-key":     http.StatusUnauthorized,
	"malformed-base":   http.StatusBadRequest,
	"faulty-sheet":     http.StatusUnprocessableEntity,
	"config-conflict":  http.StatusConflict,
	"stale-sheet":      http.StatusConflict,
	"config-too-large": http.StatusRequestEntityTooLarge,
	"config-unsettled": http.StatusBadGateway,
}

// problemOf returns the status code and the body of an error.
func problemOf(err error) (int, Problem) {
	f := failure.Of(err)
	problem := Problem{Message: f.Error(), Code: f.Code(), Outcome: f.Outcome().String()}
	if faults, ok := errors.AsType[config.Faults](err); ok {
		problem.Message = fmt.Sprintf("the sheet has %d faults; correct them and try again", len(faults))
		problem.Faults = faults
	}
	if conflict, ok := errors.AsType[config.ConflictError](err); ok {
		problem.Current, problem.Difference = conflict.Current, conflict.Difference
	}
	status, known := statusOf[f.Code()]
	switch {
	case known:
	case f.Outcome() == failure.NotRun:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusBadGateway
	}
	return status, problem
}

// StatusError reports an answer that is not of an entry's operator address.
type StatusError struct{ Status int }

// Error implements error.
func (e StatusError) Error() string { return fmt.Sprintf("status %d without an error body", e.Status) }

// Code implements failure.Failure.
func (e StatusError) Code() string { return "unexpected-status" }

// Outcome implements failure.Failure.
func (e StatusError) Outcome() failure.Outcome { return failure.Unknown }
