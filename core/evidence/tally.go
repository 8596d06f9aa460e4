// Package evidence collects what all daemons have seen of the endpoints, and judges endpoints by it.
package evidence

import "time"

// Key identifies what a Tally counts.
type Key struct {
	Service string
	// Route is the name of the configured route.
	Route string
	// Version is the version of the endpoint's software.
	Version string
	// Endpoint is the endpoint's incarnation, or empty for all endpoints of the version together.
	Endpoint string
}

// Tally counts the results of requests. All counts only grow.
type Tally struct {
	Key
	Requests, Failures uint64
	// Slow counts the requests that were answered but took several times as long as usual.
	Slow uint64
	// Durations counts the answered requests by duration; see Bucket.
	Durations [BucketCount]uint64
}

// BucketCount is the number of buckets of the durations, which go by powers of 1.5 from 1 ms to about a minute.
const BucketCount = 28

// bucketGrowth is the ratio between the upper bounds of two consecutive buckets.
const bucketGrowth = 1.5

// Bucket returns the bucket of a duration. Durations above the last upper bound count in the last bucket.
func Bucket(d time.Duration) int {
	bound := float64(time.Millisecond)
	for i := range BucketCount - 1 {
		if float64(d) <= bound {
			return i
		}
		bound *= bucketGrowth
	}
	return BucketCount - 1
}

// Report is what one daemon has seen since its start. A report with a higher sequence replaces the one before.
type Report struct {
	// Daemon and Incarnation identify the daemon that has made the report.
	Daemon, Incarnation string
	Sequence            uint64
	// Age is the time since the daemon made the report.
	Age     time.Duration
	Tallies []Tally
	// InFlight holds, by service and target, the daemon's requests in flight on endpoints of other versions than the target.
	InFlight []InFlight
}

// InFlight counts the requests in flight on endpoints of a service whose version is not the target of its roll-out.
type InFlight struct {
	Service, Target string
	Requests        int
}
