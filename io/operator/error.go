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

func (KeyError) Error() string { return "the operator key is missing or wrong" }

func (KeyError) Code() string { return "operator-key" }

func (KeyError) Outcome() failure.Outcome { return failure.NotRun }

// BaseError reports a base that is not a revision number.
type BaseError struct{ Value string }

func (e BaseError) Error() string { return fmt.Sprintf("base %q is not a revision number", e.Value) }

func (e BaseError) Code() string { return "malformed-base" }

func (e BaseError) Outcome() failure.Outcome { return failure.NotRun }

// ResponseError reports an error response of a daemon.
type ResponseError struct {
	Status  int
	Problem Problem
}

func (e ResponseError) Error() string { return e.Problem.Message }

func (e ResponseError) Code() string { return e.Problem.Code }

func (e ResponseError) Outcome() failure.Outcome {
	if e.Problem.Outcome == failure.NotRun.String() {
		return failure.NotRun
	}
	return failure.Unknown
}

// UnreachableError reports a call to a daemon that got no valid response.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e UnreachableError) Error() string {
	return fmt.Sprintf("no valid response from entry %s: %v; try another entry", e.Address, e.Cause)
}

func (e UnreachableError) Unwrap() error { return e.Cause }

func (e UnreachableError) Code() string { return "entry-unreachable" }

func (e UnreachableError) Outcome() failure.Outcome { return failure.Unknown }

// statusByCode maps error codes to HTTP status codes.
var statusByCode = map[string]int{
	"operator-key":     http.StatusUnauthorized,
	"malformed-base":   http.StatusBadRequest,
	"faulty-sheet":     http.StatusUnprocessableEntity,
	"config-conflict":  http.StatusConflict,
	"stale-sheet":      http.StatusConflict,
	"config-too-large": http.StatusRequestEntityTooLarge,
	"config-unsettled": http.StatusBadGateway,
}

// problemResponse returns the HTTP status code and the body of the response to a call that failed with err.
func problemResponse(err error) (int, Problem) {
	f := failure.Of(err)
	problem := Problem{Message: f.Error(), Code: f.Code(), Outcome: f.Outcome().String()}
	if faults, ok := errors.AsType[config.Faults](err); ok {
		problem.Message = fmt.Sprintf("the sheet has %d faults; correct them and try again", len(faults))
		problem.Faults = faults
	}
	if conflict, ok := errors.AsType[config.ConflictError](err); ok {
		problem.Current, problem.Difference = conflict.Current, conflict.Difference
	}
	status, known := statusByCode[f.Code()]
	switch {
	case known:
	case f.Outcome() == failure.NotRun:
		status = http.StatusServiceUnavailable
	default:
		status = http.StatusBadGateway
	}
	return status, problem
}

// StatusError reports an error response that does not come from the operator address of a daemon.
type StatusError struct{ Status int }

func (e StatusError) Error() string { return fmt.Sprintf("status %d without an error body", e.Status) }

func (e StatusError) Code() string { return "unexpected-status" }

func (e StatusError) Outcome() failure.Outcome { return failure.Unknown }
