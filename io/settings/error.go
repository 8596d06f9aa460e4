package settings

import (
	"fmt"
	"strings"

	"radishhollow/core/failure"
)

// Fault is one error in a settings file.
type Fault struct {
	// Key is the path of the key, such as timeouts.queue-wait. It is empty if the fault concerns the whole file.
	Key    string
	Reason string
}

// String returns the key, if there is one, and the reason.
func (f Fault) String() string {
	if f.Key == "" {
		return f.Reason
	}
	return fmt.Sprintf("%s: %s", f.Key, f.Reason)
}

// InvalidError reports all faults of one settings file.
type InvalidError struct {
	Path   string
	Faults []Fault
}

func (e InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return fmt.Sprintf("settings %s: %s", e.Path, strings.Join(lines, "; "))
}

func (e InvalidError) Code() string { return "invalid-settings" }

func (e InvalidError) Outcome() failure.Outcome { return failure.NotRun }
