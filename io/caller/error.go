package caller

import (
	"fmt"

	"radishhollow/core/failure"
)

// UnauthorizedError reports a request without the API key of a workspace.
type UnauthorizedError struct{}

func (UnauthorizedError) Error() string { return "missing or unknown API key" }

func (UnauthorizedError) Code() string { return "unauthorized" }

func (UnauthorizedError) Outcome() failure.Outcome { return failure.NotRun }

// BadRequestError reports a malformed or invalid parameter.
type BadRequestError struct {
	Param  string
	Reason string
}

func (e BadRequestError) Error() string { return fmt.Sprintf("%s: %s", e.Param, e.Reason) }

func (e BadRequestError) Code() string { return "bad-request" }

func (e BadRequestError) Outcome() failure.Outcome { return failure.NotRun }

// UnsupportedError reports a parameter of the OpenAI API whose value this system does not support.
type UnsupportedError struct{ Param string }

func (e UnsupportedError) Error() string {
	return fmt.Sprintf("the value of %s is not supported", e.Param)
}

func (e UnsupportedError) Code() string { return "unsupported-parameter" }

func (e UnsupportedError) Outcome() failure.Outcome { return failure.NotRun }

// ModelNotFoundError reports a model or adapter that is not in the configuration.
type ModelNotFoundError struct{ Model string }

func (e ModelNotFoundError) Error() string { return fmt.Sprintf("model %q does not exist", e.Model) }

func (e ModelNotFoundError) Code() string { return "model-not-found" }

func (e ModelNotFoundError) Outcome() failure.Outcome { return failure.NotRun }

// BodyTooLargeError reports a request body that exceeds the limit in bytes.
type BodyTooLargeError struct{ Limit int64 }

func (e BodyTooLargeError) Error() string {
	return fmt.Sprintf("request body exceeds the limit of %d bytes", e.Limit)
}

func (e BodyTooLargeError) Code() string { return "body-too-large" }

func (e BodyTooLargeError) Outcome() failure.Outcome { return failure.NotRun }

// NotFoundError reports a path without a handler.
type NotFoundError struct{ Path string }

func (e NotFoundError) Error() string { return fmt.Sprintf("path %q does not exist", e.Path) }

func (e NotFoundError) Code() string { return "not-found" }

func (e NotFoundError) Outcome() failure.Outcome { return failure.NotRun }

// NotReadyError reports an instance that accepts no new requests.
type NotReadyError struct{}

func (NotReadyError) Error() string { return "this instance is not ready" }

func (NotReadyError) Code() string { return "not-ready" }

func (NotReadyError) Outcome() failure.Outcome { return failure.NotRun }

// PanicError reports a panic in a handler. Its message does not expose the value to the caller.
type PanicError struct{ Value any }

func (e PanicError) Error() string { return "internal error while the request was handled" }

func (e PanicError) Code() string { return "outcome-unknown" }

func (e PanicError) Outcome() failure.Outcome { return failure.Unknown }

// TokenizeError reports that no engine tokenized the prompt. Cause is the last engine's error.
type TokenizeError struct{ Cause error }

func (e TokenizeError) Error() string { return fmt.Sprintf("cannot tokenize the prompt: %v", e.Cause) }

func (e TokenizeError) Unwrap() error { return e.Cause }

func (e TokenizeError) Code() string { return "tokenize-failed" }

// Outcome is NotRun, because tokenizing a prompt runs no generation.
func (e TokenizeError) Outcome() failure.Outcome { return failure.NotRun }

// StoppedError reports a request without a response at the end of the daemon.
type StoppedError struct {
	// Result is the outcome that the error reports.
	Result failure.Outcome
	// Cause is the error with which the request ended, or nil.
	Cause error
}

func (e StoppedError) Error() string { return "the daemon stops before the request has a response" }

func (e StoppedError) Unwrap() error { return e.Cause }

func (e StoppedError) Code() string { return "drain-timeout" }

func (e StoppedError) Outcome() failure.Outcome { return e.Result }
