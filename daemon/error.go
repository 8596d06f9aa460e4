package daemon

import (
	"fmt"

	"radishhollow/core/failure"
)

// ComponentFailedError reports a component that ended more often than its supervisor allows.
type ComponentFailedError struct {
	Name     string
	Restarts int
	Cause    error
}

func (e ComponentFailedError) Error() string {
	return fmt.Sprintf("component %s ended again after %d restarts: %v", e.Name, e.Restarts, e.Cause)
}

// Unwrap returns the component's last error.
func (e ComponentFailedError) Unwrap() error { return e.Cause }

func (e ComponentFailedError) Code() string { return "component-failed" }

func (e ComponentFailedError) Outcome() failure.Outcome { return failure.Unknown }

// KeyError reports a key in the settings that is not valid hex.
type KeyError struct {
	Setting string
	Cause   error
}

func (e KeyError) Error() string { return fmt.Sprintf("%s: %v", e.Setting, e.Cause) }

// Unwrap returns the decoder's error.
func (e KeyError) Unwrap() error { return e.Cause }

func (e KeyError) Code() string { return "malformed-key" }

func (e KeyError) Outcome() failure.Outcome { return failure.NotRun }

// ListenError reports an address on which the daemon cannot listen.
type ListenError struct {
	Address string
	Cause   error
}

func (e ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the operating system's error.
func (e ListenError) Unwrap() error { return e.Cause }

func (e ListenError) Code() string { return "listen-failed" }

func (e ListenError) Outcome() failure.Outcome { return failure.NotRun }

// EndedError reports a daemon that stopped because a component failed.
type EndedError struct{ ExitCode int }

func (e EndedError) Error() string { return "the daemon stopped because a component failed" }

func (e EndedError) Code() string { return "daemon-ended" }

func (e EndedError) Outcome() failure.Outcome { return failure.Unknown }
