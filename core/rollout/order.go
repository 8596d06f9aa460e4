package rollout

import (
	"math"
	"time"

	"radishhollow/core/kv"
)

// maxDuration is the longest duration that an order may have.
const maxDuration = 24 * time.Hour

// Order is the operator's order to move a service to a version. Orders of a service are told apart by their revision.
type Order struct {
	Service string
	// Target is the version that is to serve.
	Target   string
	Duration time.Duration
	// Revision is that of the order's key in the platform's store.
	Revision kv.Revision
}

// Validate returns MalformedOrderError if the order lacks a field or has one out of range.
func (o Order) Validate() error {
	switch {
	case o.Service == "":
		return MalformedOrderError{Field: "service"}
	case o.Target == "":
		return MalformedOrderError{Field: "target"}
	case o.Duration <= 0 || o.Duration > maxDuration:
		return MalformedOrderError{Field: "duration"}
	case o.Revision.IsZero():
		return MalformedOrderError{Field: "revision"}
	}
	return nil
}

// DurationOf converts a number of seconds to a duration. It returns MalformedOrderError if the number is not finite, not
// positive or above one day.
func DurationOf(seconds float64) (time.Duration, error) {
	if math.IsNaN(seconds) || seconds <= 0 || seconds > maxDuration.Seconds() {
		return 0, MalformedOrderError{Field: "duration"}
	}
	return max(time.Duration(seconds*float64(time.Second)), 1), nil
}
