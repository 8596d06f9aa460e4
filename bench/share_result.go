package bench

import (
	"math"
	"slices"
	"time"
)

// ShareResult is the result of one run of Share, printed as a JSON line.
type ShareResult struct {
	Experiment string  `json:"experiment"`
	Deployment string  `json:"deployment"`
	Case       string  `json:"case"`
	Seed       uint64  `json:"seed"`
	Offered    float64 `json:"offered"`
	// WorstError is the largest relative error among the three workspaces with the highest shares. Distance is the
	// fraction of all tokens that went to a different workspace than the fair allocation assigns.
	WorstError float64 `json:"share-error-worst-large"`
	Distance   float64 `json:"share-distance"`
	// ReceivedOverFair is the number of tokens delivered to each workspace as a multiple of its fair allocation.
	// Goodput is the rate of delivered tokens minus those of responses that ended with an error.
	ReceivedOverFair map[string]float64 `json:"share-got-over-due"`
	Goodput          float64            `json:"goodput-tokens-per-second"`
	Capacity         float64            `json:"capacity-tokens-per-second"`
	// MaxAdmittedInSecond is the largest number of requests of the limited workspace whose first tokens arrived within
	// one second; RequestsPerSecondLimit is its limit.
	MaxAdmittedInSecond    int     `json:"limited-admitted-in-a-second"`
	AdmittedPerSecond      float64 `json:"limited-admitted-per-second"`
	RequestsPerSecondLimit float64 `json:"limited-requests-per-second"`
	MaxRunning             int     `json:"limited-most-running"`
	ConcurrencyLimit       int     `json:"limited-concurrency"`
	// IdleLatency and LoadedLatency are the latencies of plain-service calls before the load and during the
	// measurement.
	IdleLatency    Quantiles      `json:"booking-idle-ms"`
	LoadedLatency  Quantiles      `json:"booking-flood-ms"`
	RetriesGranted int64          `json:"retries-granted"`
	RetriesDenied  int64          `json:"retries-denied"`
	Completed      int            `json:"answers-ended"`
	Checked        int            `json:"answers-checked"`
	Wrong          int            `json:"answers-wrong"`
	Errors         map[string]int `json:"errors"`
	Seconds        float64        `json:"seconds"`
}

func (s *Share) result(idleLatency, loadedLatency Quantiles) ShareResult {
	out := ShareResult{
		Experiment: "share", Deployment: s.Deployment, Case: s.Case, Seed: s.seed, Offered: s.Offered,
		IdleLatency: idleLatency, LoadedLatency: loadedLatency,
		RetriesGranted: s.retriesGranted.Load(), RetriesDenied: s.retriesDenied.Load(), Errors: map[string]int{},
		ReceivedOverFair: map[string]float64{},
		Capacity:         math.Round(s.capacity()),
	}
	deliveredTokens, wastedTokens := 0, 0
	for _, counts := range s.load.counts {
		deliveredTokens += counts.deliveredTokens
		wastedTokens += counts.wastedTokens
		out.Completed += counts.completed
		out.Checked += counts.checked
		out.Wrong += counts.wrong
		for code, n := range counts.errors {
			out.Errors[code] += n
		}
	}
	out.Goodput = float64(deliveredTokens-wastedTokens) / shareMeasureDuration.Seconds()
	s.addShares(&out, float64(deliveredTokens))
	if s.keepsLimits() {
		s.addLimits(&out)
	}
	return out
}

func (s *Share) addShares(out *ShareResult, deliveredTokens float64) {
	shares, demand := map[string]float64{}, map[string]float64{}
	var sorted []float64
	for _, w := range s.fleet.Fields().Workspaces {
		shares[w.Name], demand[w.Name] = w.Share, float64(s.load.counts[w.Name].offeredTokens)
		sorted = append(sorted, w.Share)
	}
	slices.Sort(sorted)
	thirdLargest := sorted[len(sorted)-3]
	for name, fair := range fairAllocation(deliveredTokens, shares, demand) {
		received := float64(s.load.counts[name].deliveredTokens)
		out.ReceivedOverFair[name] = math.Round(received/max(fair, 1)*1000) / 1000
		out.Distance += math.Abs(received-fair) / 2 / max(deliveredTokens, 1)
		if shares[name] >= thirdLargest {
			out.WorstError = max(out.WorstError, math.Abs(received/max(fair, 1)-1))
		}
	}
}

// addLimits adds the admissions and limits of the workspace that requests a multiple of its limit.
func (s *Share) addLimits(out *ShareResult) {
	counts := s.load.counts[s.largestWorkspace()]
	for _, w := range s.fleet.Fields().Workspaces {
		if w.Name == s.largestWorkspace() {
			out.RequestsPerSecondLimit, out.ConcurrencyLimit = w.RequestsPerSecond, w.Concurrency
		}
	}
	out.MaxRunning = counts.maxRunning
	slices.SortFunc(counts.admitted, time.Time.Compare)
	windowStart := 0
	for i, at := range counts.admitted {
		for at.Sub(counts.admitted[windowStart]) >= time.Second {
			windowStart++
		}
		out.MaxAdmittedInSecond = max(out.MaxAdmittedInSecond, i-windowStart+1)
	}
	if n := len(counts.admitted); n > 1 {
		out.AdmittedPerSecond = float64(n-1) / counts.admitted[n-1].Sub(counts.admitted[0]).Seconds()
	}
}
