package failure

// Internal is the Failure for an error that is not itself a Failure.
type Internal struct {
	cause error
}

func (e Internal) Error() string {
	if e.cause == nil {
		return "internal error"
	}
	return "internal error: " + e.cause.Error()
}

func (e Internal) Unwrap() error { return e.cause }

func (e Internal) Code() string { return "internal" }

// Outcome is Unknown because an untyped error does not tell whether the request has run.
func (e Internal) Outcome() Outcome { return Unknown }
