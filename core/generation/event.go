package generation

import "time"

// EventKind tells what happened to a generation.
type EventKind string

// Kinds of Event.
const (
	// EventAttempt is an attempt whose stream is open; Class is first, resume or attach.
	EventAttempt EventKind = "attempt"
	// EventFirst is the first delivered chunk; Wait is the time since Run started.
	EventFirst EventKind = "first"
	// EventGap is a later chunk; Wait is the time since the chunk before.
	EventGap EventKind = "gap"
	// EventResumed is the first chunk after a loss; Wait is the caller's wait.
	EventResumed EventKind = "resumed"
	// EventLoss is a lost engine; Class is connection, silence or crossed.
	EventLoss EventKind = "loss"
	// EventRefused is an endpoint that did not run the attempt.
	EventRefused EventKind = "refused"
	// EventDropped is output that was not delivered; Class is duplicate or crossed.
	EventDropped EventKind = "dropped"
)

// Classes of events, which are the label values of the counters.
const (
	ClassFirst      = "first"
	ClassResume     = "resume"
	ClassAttach     = "attach"
	ClassConnection = "connection"
	ClassSilence    = "silence"
	ClassCrossed    = "crossed"
	ClassDuplicate  = "duplicate"
)

// Event is one step of a generation, for metrics and for the cursor's endpoint.
type Event struct {
	Kind        EventKind
	Class       string
	Address     string
	Incarnation string
	Attempt     int
	Wait        time.Duration
	// Tokens is the number of prompt ids sent (attempt) or of dropped ids (dropped).
	Tokens int
	Cause  error
}
