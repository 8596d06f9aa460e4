package generation

import (
	"fmt"

	"radishhollow/core/failure"
)

// MalformedSpecError reports a spec that ParseSpec cannot read.
type MalformedSpecError struct{ Text string }

// Error implements error.
func (e MalformedSpecError) Error() string { return fmt.Sprintf("malformed spec %q", e.Text) }

// Code implements failure.Failure.
func (e MalformedSpecError) Code() string { return "malformed-spec" }

// Outcome implements failure.Failure.
func (e MalformedSpecError) Outcome() failure.Outcome { return failure.Unknown }
