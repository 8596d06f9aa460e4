package bench

import (
	"math"
	"slices"
	"time"
)

// ShareResult is one run of Share as a JSON line.
type ShareResult struct {
	Experiment string  `json:"experiment"`
	Deployment string  `json:"deployment"`
	Case       string  `json:"case"`
	Seed       uint64  `json:"seed"`
	Offered    float64 `json:"offered"`
	// WorstError is the largest relative error among the three largest workspaces, Distance the part of all tokens
	// that went to another workspace than the weights say.
	WorstError float64            `json:"share-error-worst-large"`
	Distance   float64            `json:"share-distance"`
	Parts      map[string]float64 `json:"share-got-over-due"`
	Goodput    float64            `json:"goodput-tokens-per-second"`
	Capacity   float64            `json:"capacity-tokens-per-second"`
	// Admitted is the most requests of the limited workspace that started within one second, with its limit.
	Admitted     int            `json:"limited-admitted-in-a-second"`
	AdmittedRate float64        `json:"limited-admitted-per-second"`
	Limit        float64        `json:"limited-requests-per-second"`
	Concurrency  int            `json:"limited-most-running"`
	Concurrent   int            `json:"limited-concurrency"`
	Idle         Quantiles      `json:"booking-idle-ms"`
	Busy         Quantiles      `json:"booking-flood-ms"`
	Retries      int64          `json:"retries-granted"`
	Denied       int64          `json:"retries-denied"`
	Ended        int            `json:"answers-ended"`
	Checked      int            `json:"answers-checked"`
	Wrong        int            `json:"answers-wrong"`
	Errors       map[string]int `json:"errors"`
	Seconds      float64        `json:"seconds"`
}

func (s *Share) result(idle, busy Quantiles) ShareResult {
	out := ShareResult{
		Experiment: "share", Deployment: s.Deployment, Case: s.Case, Seed: s.seed, Offered: s.Offered, Idle: idle, Busy: busy,
		Retries: s.granted.Load(), Denied: s.denied.Load(), Errors: map[string]int{}, Parts: map[string]float64{},
		Capacity: math.Round(s.capacity()),
	}
	delivered, wasted := 0, 0
	for _, t := range s.flood.tallies {
		delivered += t.delivered
		wasted += t.wasted
		out.Ended += t.ended
		out.Checked += t.checked
		out.Wrong += t.wrong
		for code, n := range t.errors {
			out.Errors[code] += n
		}
	}
	out.Goodput = float64(delivered-wasted) / shareFor.Seconds()
	s.addShares(&out, float64(delivered))
	if s.limited() {
		s.addLimits(&out)
	}
	return out
}

func (s *Share) addShares(out *ShareResult, delivered float64) {
	shares, asked := map[string]float64{}, map[string]float64{}
	var sizes []float64
	for _, w := range s.fleet.Fields().Workspaces {
		shares[w.Name], asked[w.Name] = w.Share, float64(s.flood.tallies[w.Name].offeredTokens)
		sizes = append(sizes, w.Share)
	}
	slices.Sort(sizes)
	large := sizes[len(sizes)-3]
	for name, due := range fairParts(delivered, shares, asked) {
		got := float64(s.flood.tallies[name].delivered)
		out.Parts[name] = math.Round(got/max(due, 1)*1000) / 1000
		out.Distance += math.Abs(got-due) / 2 / max(delivered, 1)
		if shares[name] >= large {
			out.WorstError = max(out.WorstError, math.Abs(got/max(due, 1)-1))
		}
	}
}

// addLimits counts the starts of the workspace that asks for a multiple of its limits.
func (s *Share) addLimits(out *ShareResult) {
	t := s.flood.tallies[s.first()]
	for _, w := range s.fleet.Fields().Workspaces {
		if w.Name == s.first() {
			out.Limit, out.Concurrent = w.RequestsPerSecond, w.Concurrency
		}
	}
	out.Concurrency = t.mostRunning
	slices.SortFunc(t.admitted, time.Time.Compare)
	begin := 0
	for i, at := range t.admitted {
		for at.Sub(t.admitted[begin]) >= time.Second {
			begin++
		}
		out.Admitted = max(out.Admitted, i-begin+1)
	}
	if n := len(t.admitted); n > 1 {
		out.AdmittedRate = float64(n-1) / t.admitted[n-1].Sub(t.admitted[0]).Seconds()
	}
}
