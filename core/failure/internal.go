package failure

// Internal wraps an error that has no type of its own.
type Internal struct {
	cause error
}

// Error implements error.
func (e Internal) Error() string {
	if e.cause == nil {
		return "internal error"
	}
	return "internal error: " + e.cause.Error()
}

// Unwrap returns the wrapped error.
func (e Internal) Unwrap() error { return e.cause }

// Code implements Failure.
func (e Internal) Code() string { return "internal" }

// Outcome implements Failure. An untyped error says nothing about the request, so it is Unknown.
func (e Internal) Outcome() Outcome { return Unknown }
