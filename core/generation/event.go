package generation

import "time"

// EventKind is the kind of step that an Event reports.
type EventKind string

// Kinds of Event.
const (
	// EventAttempt reports an attempt whose stream is open. Class is first, resume or attach.
	EventAttempt EventKind = "attempt"
	// EventFirst reports the first delivered chunk. Wait is the time since the start of Run.
	EventFirst EventKind = "first"
	// EventGap reports a later chunk. Wait is the time since the delivery of the previous chunk.
	EventGap EventKind = "gap"
	// EventResumed reports the first chunk after a loss. Wait is the time since the last delivery or the start of Run.
	EventResumed EventKind = "resumed"
	// EventLoss reports an attempt that failed after it may have run. Class is connection, silence or crossed.
	EventLoss EventKind = "loss"
	// EventRefused reports an attempt whose Open failed with outcome not-run: the endpoint refused it without running it,
	// or could not be reached.
	EventRefused EventKind = "refused"
	// EventKept reports a silent engine whose stream is kept because the generation cannot continue elsewhere. It is
	// reported once for each silence. Class is the reason, one of the Reason constants. Wait is the time since the last
	// delivery or the start of Run. Cause is a SilenceError.
	EventKept EventKind = "kept"
	// EventMoveFailed reports an attempt that was to replace the stream of a silent engine, which is kept instead. Class is
	// MoveRefused, MoveLost or MoveUnneeded. Cause is nil if the attempt was opened.
	EventMoveFailed EventKind = "move-failed"
	// EventDropped reports received output that was not delivered. Class is duplicate or crossed.
	EventDropped EventKind = "dropped"
)

// Classes of events. They are the label values of the counters. ClassCrossed is the class of every chunk that
// Log.Accept refuses, such as one of another generation or attempt, one that contradicts the delivered output, or one
// after a gap.
const (
	ClassFirst      = "first"
	ClassResume     = "resume"
	ClassAttach     = "attach"
	ClassConnection = "connection"
	ClassSilence    = "silence"
	ClassCrossed    = "crossed"
	ClassDuplicate  = "duplicate"
)

// Event reports one step of a generation. Observers use it for metrics and to put the current endpoint into cursors.
type Event struct {
	Kind        EventKind
	Class       string
	Address     string
	Incarnation string
	Attempt     int
	Wait        time.Duration
	// Tokens is the number of prompt ids sent for EventAttempt, of dropped ids for EventDropped, and of delivered ids for
	// other kinds with a chunk.
	Tokens int
	// Charged reports for EventRefused and EventMoveFailed whether the attempt took a retry from the retry budget.
	Charged bool
	Cause   error
}
