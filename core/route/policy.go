package route

import "time"

// Method selects how Pick chooses among eligible endpoints.
type Method int

// Methods of choice. MethodRandom and MethodLeastReported exist for measurement.
const (
	MethodEstimate Method = iota
	MethodRandom
	MethodLeastReported
)

// Policy holds the parameters of a Table.
type Policy struct {
	Method Method
	// Candidates is the number of random endpoints that MethodEstimate compares; 0 compares all.
	Candidates int
	// ResumeCandidates is Candidates for resumed generations.
	ResumeCandidates int
	// PrefixAware subtracts cached prompt blocks from the prefill work and adds their holders to the candidates.
	PrefixAware bool
	// BalanceResources multiplies the estimate by the resource-balance index.
	BalanceResources bool
	// SubsetSize is the number of endpoints per kind and name that this daemon prefers.
	SubsetSize int
	// Headroom is the share of each endpoint's slots that only resumed generations may use.
	Headroom float64
	// ReportLag is the age up to which sent work may be missing from a newer report.
	ReportLag time.Duration
	// AliveFor is the age up to which a report shows that its endpoint is alive.
	AliveFor time.Duration
	// UnreachableTTL ends the effect of Unreachable where endpoints do not report; 0 waits for the next report.
	UnreachableTTL time.Duration
	// ListIsCurrent tells that the instance list does not lag, so that it may name an incarnation again that was superseded.
	ListIsCurrent bool
	// ProbeTTL is the time for which a Peek counts, and PeekLag the age that its figures have when it is taken.
	ProbeTTL, ProbeLag time.Duration
	// DeadFor ends a dead mark, because a paused endpoint may return under the same incarnation.
	DeadFor time.Duration
	// MarkFor is the age up to which a mark is told to the peers.
	MarkFor time.Duration
	// MaxMarks bounds the marks; the oldest is dropped first.
	MaxMarks int
	// PrefixBlocks bounds the prefix index.
	PrefixBlocks int
	// PrefixTTL drops index entries whose eviction event may have been lost.
	PrefixTTL time.Duration
	// TypicalOutput bounds the output length that the estimate assumes.
	TypicalOutput int
	// BreakAfter is the number of consecutive failures that opens a circuit.
	BreakAfter int
	// BreakerMinOpen and BreakMax bound the time that a circuit stays open.
	BreakerMinOpen, BreakerMaxOpen time.Duration
	// OtherPlacePenalty is added to the estimate of an endpoint outside the daemon's place.
	OtherPlacePenalty float64
	// AffinityTolerance is the estimate, in seconds, by which an endpoint may be worse than the best and still be chosen by
	// Need.Affinity.
	AffinityTolerance float64
	// Seed seeds sampling and ties.
	Seed uint64
}

// DefaultPolicy returns the parameters that won in TestChoiceModel.
func DefaultPolicy() Policy {
	return Policy{
		Method:           MethodEstimate,
		Candidates:       2,
		ResumeCandidates: 2,
		PrefixAware:       true,
		SubsetSize:           24,
		Headroom:         0.1,
		ReportLag:        400 * time.Millisecond,
		AliveFor:         3 * time.Second,
		DeadFor:          30 * time.Second,
		MarkFor:          time.Minute,
		MaxMarks:         4096,
		PrefixBlocks:     1 << 17,
		PrefixTTL:        2 * time.Minute,
		TypicalOutput:    256,
		BreakAfter:       3,
		BreakerMinOpen:         time.Second,
		BreakerMaxOpen:         15 * time.Second,
		Seed:             1,
	}
}
