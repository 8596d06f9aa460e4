package settings

import (
	"fmt"
	"strings"

	"radishhollow/core/failure"
)

// Fault is one finding in a settings file.
type Fault struct {
	// Key is the path of the key, such as timeouts.queue-wait; it is empty for the file as a whole.
	Key    string
	Reason string
}

// String returns the fault as one line.
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

// Error implements error.
func (e InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, fault := range e.Faults {
		lines[i] = fault.String()
	}
	return fmt.Sprintf("settings %s: %s", e.Path, strings.Join(lines, "; "))
}

// Code implements failure.Failure.
func (e InvalidError) Code() string { return "invalid-settings" }

// Outcome implements failure.Failure.
func (e InvalidError) Outcome() failure.Outcome { return failure.NotRun }
