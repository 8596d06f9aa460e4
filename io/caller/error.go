package caller

import (
	"fmt"

	"radishhollow/core/failure"
)

// UnauthorizedError reports a request without the API key of a workspace.
type UnauthorizedError struct{}

// Error implements error.
func (UnauthorizedError) Error() string { return "missing or unknown API key" }

// Code implements failure.Failure.
func (UnauthorizedError) Code() string { return "unauthorized" }

// Outcome implements failure.Failure.
func (UnauthorizedError) Outcome() failure.Outcome { return failure.NotRun }

// BadRequestError reports a parameter that cannot be used.
type BadRequestError struct {
	Param  string
	Reason string
}

// Error implements error.
func (e BadRequestError) Error() string { return fmt.Sprintf("%s: %s", e.Param, e.Reason) }

// Code implements failure.Failure.
func (e BadRequestError) Code() string { return "bad-request" }

// Outcome implements failure.Failure.
func (e BadRequestError) Outcome() failure.Outcome { return failure.NotRun }

// UnsupportedError reports a parameter of the published format that this system does not offer.
type UnsupportedError struct{ Param string }

// Error implements error.
func (e UnsupportedError) Error() string {
	return fmt.Sprintf("this value of %s is not supported", e.Param)
}

// Code implements failure.Failure.
func (e UnsupportedError) Code() string { return "unsupported-parameter" }

// Outcome implements failure.Failure.
func (e UnsupportedError) Outcome() failure.Outcome { return failure.NotRun }

// ModelNotFoundError reports a model or adapter that the sheet does not have.
type ModelNotFoundError struct{ Model string }

// Error implements error.
func (e ModelNotFoundError) Error() string { return fmt.Sprintf("model %q does not exist", e.Model) }

// Code implements failure.Failure.
func (e ModelNotFoundError) Code() string { return "model-not-found" }

// Outcome implements failure.Failure.
func (e ModelNotFoundError) Outcome() failure.Outcome { return failure.NotRun }

// BodyTooLargeError reports a body over the limit.
type BodyTooLargeError struct{ Limit int64 }

// Error implements error.
func (e BodyTooLargeError) Error() string { return fmt.Sprintf("body exceeds %d bytes", e.Limit) }

// Code implements failure.Failure.
func (e BodyTooLargeError) Code() string { return "body-too-large" }

// Outcome implements failure.Failure.
func (e BodyTooLargeError) Outcome() failure.Outcome { return failure.NotRun }

// NotFoundError reports a path that is not served.
type NotFoundError struct{ Path string }

// Error implements error.
func (e NotFoundError) Error() string { return fmt.Sprintf("no such path %q", e.Path) }

// Code implements failure.Failure.
func (e NotFoundError) Code() string { return "not-found" }

// Outcome implements failure.Failure.
func (e NotFoundError) Outcome() failure.Outcome { return failure.NotRun }

// NotReadyError reports an instance that takes no new work.
type NotReadyError struct{}

// Error implements error.
func (NotReadyError) Error() string { return "this instance is not ready" }

// Code implements failure.Failure.
func (NotReadyError) Code() string { return "not-ready" }

// Outcome implements failure.Failure.
func (NotReadyError) Outcome() failure.Outcome { return failure.NotRun }

// PanicError reports a handler that ended by a panic.
type PanicError struct{ Value any }

// Error implements error.
func (e PanicError) Error() string { return "the handler failed unexpectedly" }

// Code implements failure.Failure.
func (e PanicError) Code() string { return "outcome-unknown" }

// Outcome implements failure.Failure.
func (e PanicError) Outcome() failure.Outcome { return failure.Unknown }

// TokenizeError reports that no engine encoded the prompt.
type TokenizeError struct{ Cause error }

// Error implements error.
func (e TokenizeError) Error() string { return fmt.Sprintf("encode the prompt: %v", e.Cause) }

// Unwrap returns the last engine's error.
func (e TokenizeError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e TokenizeError) Code() string { return "tokenize-failed" }

// Outcome implements failure.Failure. Encoding a prompt runs no generation.
func (e TokenizeError) Outcome() failure.Outcome { return failure.NotRun }
