package route

import "time"

// Method is how Pick chooses among eligible endpoints.
type Method int

// Selection methods. MethodEstimate picks the lowest score; MethodRandom and MethodLeastReported are baselines for
// measurements.
const (
	MethodEstimate Method = iota
	MethodRandom
	MethodLeastReported
)

// Policy holds the parameters of a Table.
type Policy struct {
	Method Method
	// SampleSize is the number of randomly sampled endpoints that MethodEstimate compares; 0 compares all.
	SampleSize int
	// ResumeSampleSize replaces SampleSize for resumed generations.
	ResumeSampleSize int
	// PrefixAware excludes cached prompt blocks from the prefill estimate and adds the endpoint with the longest cached
	// prefix to the sample.
	PrefixAware bool
	// BalanceResources multiplies the estimate by the endpoint's resource-balance index.
	BalanceResources bool
	// SubsetSize is the number of endpoints per kind and name that this daemon polls and prefers; 0 means all.
	SubsetSize int
	// Headroom is the share of each endpoint's slots that only resumed generations may use.
	Headroom float64
	// ReportLag is the age up to which a request that was sent may be missing from a newer report.
	ReportLag time.Duration
	// AliveReportAge is the age up to which a report shows that its endpoint is alive.
	AliveReportAge time.Duration
	// UnreachableTTL is the longest time for which SetUnreachable stops work on an endpoint, needed for endpoints that
	// send no reports; 0 means until the next report.
	UnreachableTTL time.Duration
	// ListIsCurrent says that the instance list does not lag, so that a superseded incarnation in it is current again.
	ListIsCurrent bool
	// QueriedLoadTTL is the time for which a QueriedLoad is used, and QueriedLoadLag the age of its figures on
	// arrival.
	QueriedLoadTTL, QueriedLoadLag time.Duration
	// DeadMarkTTL is the lifetime of a dead mark. It is limited because a paused endpoint may return under the same
	// incarnation.
	DeadMarkTTL time.Duration
	// MarkExchangeTTL is the age up to which Marks returns a mark, to be added to the member.Table, which sends it to
	// the peers until its MarkExpiry.
	MarkExchangeTTL time.Duration
	// MaxMarks bounds the number of marks; the oldest is dropped first.
	MaxMarks int
	// MaxPrefixBlocks bounds the blocks in the prefix index.
	MaxPrefixBlocks int
	// PrefixTTL is the lifetime of prefix index entries. It is limited because the event of an eviction may be lost.
	PrefixTTL time.Duration
	// TypicalOutputTokens is the output length that the estimate assumes, unless MaxTokens is lower.
	TypicalOutputTokens int
	// BreakerThreshold is the number of consecutive failures that opens a circuit.
	BreakerThreshold int
	// BreakerMinOpen and BreakerMaxOpen bound the time for which a circuit stays open.
	BreakerMinOpen, BreakerMaxOpen time.Duration
	// OtherPlacePenalty is added to the score of an endpoint outside the daemon's place. Its unit is that of the score:
	// seconds for models, requests per slot for services.
	OtherPlacePenalty float64
	// AffinityTolerance is the amount, in seconds, by which the score of the endpoint that Criteria.AffinityKey selects
	// may exceed the lowest score.
	AffinityTolerance float64
	// Uneven applies to endpoints that state four figures.
	Uneven UnevenPolicy
	// Seed seeds the random sampling and tie-breaking.
	Seed uint64
}

// DefaultPolicy returns the policy for endpoints that report their load.
func DefaultPolicy() Policy {
	return Policy{
		Method:              MethodEstimate,
		SampleSize:          2,
		ResumeSampleSize:    2,
		PrefixAware:         true,
		SubsetSize:          24,
		Headroom:            0.1,
		ReportLag:           400 * time.Millisecond,
		AliveReportAge:      3 * time.Second,
		DeadMarkTTL:         30 * time.Second,
		MarkExchangeTTL:     time.Minute,
		MaxMarks:            4096,
		MaxPrefixBlocks:     1 << 17,
		PrefixTTL:           2 * time.Minute,
		TypicalOutputTokens: 256,
		BreakerThreshold:    3,
		BreakerMinOpen:      time.Second,
		BreakerMaxOpen:      15 * time.Second,
		Uneven:              defaultUnevenPolicy(),
		Seed:                1,
	}
}
