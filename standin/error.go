package standin

import (
	"fmt"

	"radishhollow/core/failure"
)

// RegisterError reports that the platform rejected a registration in its instance list.
type RegisterError struct {
	Platform string
	Status   int
}

func (e RegisterError) Error() string {
	return fmt.Sprintf("platform %s rejected the registration of the instance with HTTP status %d", e.Platform, e.Status)
}

func (e RegisterError) Code() string { return "register-refused" }

func (e RegisterError) Outcome() failure.Outcome { return failure.NotRun }
