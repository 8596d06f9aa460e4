package failure

// Outcome states whether a request has run on an endpoint.
type Outcome int

// Outcomes of a request. The zero value is Unknown, so that an unset outcome makes no false claim.
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
