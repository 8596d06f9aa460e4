package standin

import (
	"fmt"

	"radishhollow/core/failure"
)

// RegisterError reports that the platform refused a row of its instance list.
type RegisterError struct {
	Platform string
	Status   int
}

// Error implements error.
func (e RegisterError) Error() string {
	return fmt.Sprintf("platform %s refused the instance with status %d", e.Platform, e.Status)
}

// Code implements failure.Failure.
func (e RegisterError) Code() string { return "register-refused" }

// Outcome implements failure.Failure.
func (e RegisterError) Outcome() failure.Outcome { return failure.NotRun }
