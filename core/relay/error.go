package relay

import (
	"fmt"
	"time"

	"radishhollow/core/failure"
	"radishhollow/core/kv"
)

// StaleError reports a copy that the key-value service has not confirmed recently enough.
type StaleError struct {
	Prefix string
	Age    time.Duration
}

func (e StaleError) Error() string {
	return fmt.Sprintf("the copy of %q was confirmed %s ago", e.Prefix, e.Age)
}

func (e StaleError) Code() string { return "copy-stale" }

func (e StaleError) Outcome() failure.Outcome { return failure.NotRun }

// PrefixError reports a request for a prefix that the daemon does not follow.
type PrefixError struct{ Prefix string }

func (e PrefixError) Error() string { return fmt.Sprintf("the prefix %q is not followed", e.Prefix) }

func (e PrefixError) Code() string { return "prefix-unknown" }

func (e PrefixError) Outcome() failure.Outcome { return failure.NotRun }

// BusyError reports an answer that the reader's link would carry too late.
type BusyError struct{ Bytes int }

func (e BusyError) Error() string {
	return fmt.Sprintf("the reader's link is busy; %d bytes are not sent", e.Bytes)
}

func (e BusyError) Code() string { return "reader-busy" }

func (e BusyError) Outcome() failure.Outcome { return failure.NotRun }

// PackError reports a packed value that does not fit the follower's value.
type PackError struct {
	Key string
	// Base is the revision of the value that the sender took the follower to have, Own that of the follower's.
	Base, Own kv.Revision
}

func (e PackError) Error() string {
	return fmt.Sprintf("the packed value of %q is based on revision %s; own value: %s", e.Key, e.Base, e.Own)
}

func (e PackError) Code() string { return "pack-differs" }

func (e PackError) Outcome() failure.Outcome { return failure.NotRun }

// OtherEraError reports a revision of another era of the key-value service than that of the copy, or of an answer of a
// reader whose era the service does not confirm.
type OtherEraError struct{ Want, Got uint64 }

func (e OtherEraError) Error() string {
	return fmt.Sprintf("the copy or answer is of era %d, not %d", e.Got, e.Want)
}

func (e OtherEraError) Code() string { return "era-differs" }

func (e OtherEraError) Outcome() failure.Outcome { return failure.NotRun }

// ImplausibleError reports a reader's answer that would remove a large part of the entries.
type ImplausibleError struct {
	Prefix         string
	Removed, Known int
}

func (e ImplausibleError) Error() string {
	return fmt.Sprintf("the answer for %q removes %d of %d entries", e.Prefix, e.Removed, e.Known)
}

func (e ImplausibleError) Code() string { return "change-implausible" }

func (e ImplausibleError) Outcome() failure.Outcome { return failure.NotRun }
