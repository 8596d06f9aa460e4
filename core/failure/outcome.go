package failure

// Outcome tells whether a request ran on an endpoint.
type Outcome int

// Outcomes of a request. The zero value is Unknown, so that an unset outcome never claims too much.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// String returns the kebab-case name that callers and metrics see.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}
