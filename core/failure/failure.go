// Package failure classifies errors by whether the request has run on an endpoint.
package failure

import "github.com/juju/errors"

// Failure is an error with a code for callers and the outcome of the request.
type Failure interface {
	error
	// Code returns the kebab-case error code that callers and metrics see.
	Code() string
	// Outcome returns whether the request has run.
	Outcome() Outcome
}

// Of returns the outermost Failure in the chain of err, or an Internal that wraps err.
func Of(err error) Failure {
	if f, ok := errors.AsType[Failure](err); ok {
		return f
	}
	return Internal{cause: err}
}
