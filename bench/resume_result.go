package bench

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"radishhollow/core/route"
	"radishhollow/standin/engine"
)

// ResumeResult is the result of one run of Resume, printed as a JSON line. Affected requests are those that ran on a
// faulty endpoint when the fault was injected.
//
// Wait has the longest wait of each affected request that ended after the fault. TokenWaitOfAll has that of every
// request, without the wait for its first token. DaemonHistogram has the resume latency as measured by the daemons, in
// which each quantile is the upper bound of a histogram bucket.
//
// RecomputedPrefill is the number of prefilled tokens beyond one prefill per prompt, Undelivered the number of
// generated tokens that callers did not receive, and ExtraEngineMS the engine time that both cost. EnginesHeldIdle is
// the capacity that the resume preference keeps free, as a number of engines.
//
// Silences is the number of silences that daemons detected, and SpuriousFailovers the number of those at endpoints that
// had not stopped. Checked is the number of responses with tokens, and Wrong the number of those with incorrect tokens
// or an end without a finish reason.
type ResumeResult struct {
	Experiment               string         `json:"experiment"`
	Deployment               string         `json:"deployment"`
	Preference               string         `json:"preference"`
	Variant                  string         `json:"variant"`
	Fault                    string         `json:"fault"`
	Seed                     uint64         `json:"seed"`
	Load                     float64        `json:"load"`
	Engines                  int            `json:"engines"`
	Services                 int            `json:"services"`
	Daemons                  int            `json:"daemons"`
	Streams                  int            `json:"streams"`
	Affected                 int            `json:"streams-hit"`
	Wait                     Quantiles      `json:"wait-ms"`
	TokenWaitOfAll           Quantiles      `json:"token-wait-of-all-ms"`
	DaemonHistogram          Quantiles      `json:"daemon-histogram-ms"`
	FirstToken               Quantiles      `json:"first-token-ms"`
	Delivered                int            `json:"delivered-tokens"`
	RecomputedPrefill        int            `json:"recomputed-prefill-tokens"`
	Undelivered              int            `json:"undelivered-tokens"`
	ExtraEngineMS            float64        `json:"extra-engine-ms"`
	ExtraEngineMSPerAffected float64        `json:"extra-engine-ms-per-hit"`
	Silences                 int64          `json:"silences"`
	SpuriousFailovers        int64          `json:"spurious-failovers"`
	Checked                  int            `json:"answers-checked"`
	Wrong                    int            `json:"answers-wrong"`
	Errors                   map[string]int `json:"errors"`
	AffectedErrors           int            `json:"errors-of-hit"`
	EnginesHeldIdle          float64        `json:"engines-held-idle"`
	KeyValueCalls            float64        `json:"key-value-calls"`
	Seconds                  float64        `json:"seconds"`
}

// Quantiles holds quantiles of durations in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Worst float64 `json:"worst"`
}

// newHistogram returns a histogram of durations in microseconds, up to 60 s, with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.TotalCount(), P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Worst: ms(h.Max()),
	}
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Microseconds(), 1))
}

// result returns the figures of the finished run.
func (r *Resume) result(ctx context.Context) (ResumeResult, error) {
	f := r.fleet
	out := ResumeResult{
		Experiment: "resume", Deployment: r.Deployment, Preference: f.Fields().Settings.ResumePreference,
		Variant: r.Variant, Fault: r.Fault, Seed: r.seed, Load: r.Load, Engines: f.Engines, Services: f.Services,
		Daemons:         f.Daemons,
		EnginesHeldIdle: route.ResumePreferenceFor(f.Fields().Settings.ResumePreference).Headroom * float64(f.Engines),
		Errors:          map[string]int{}, Silences: r.silences.Load(), SpuriousFailovers: r.spuriousSilences.Load(),
	}
	r.addRequests(&out)
	var err error
	if out.KeyValueCalls, err = f.Metric(ctx, "radishhollow_key_value_calls_total"); err != nil {
		return out, err
	}
	if out.DaemonHistogram, err = f.histogram(ctx, "radishhollow_resume_latency_seconds"); err != nil {
		return out, err
	}
	return out, r.addEngineWork(ctx, &out)
}

func (r *Resume) addRequests(out *ResumeResult) {
	affected, all, first := newHistogram(), newHistogram(), newHistogram()
	for _, req := range r.load.requests {
		out.Streams++
		out.Delivered += len(req.last.Tokens)
		if len(req.last.Tokens) > 0 {
			out.Checked++
			if req.last.Check(req.maxTokens) != nil || (req.last.Done && req.last.FinishReason == "") {
				out.Wrong++
			}
		}
		code := req.errorCode()
		if code != "" {
			out.Errors[code]++
		}
		if len(req.progress) > 0 {
			recordDuration(first, req.progress[0].Sub(req.arrived))
		}
		if wait := req.tokenWaitAfter(r.faultedAt); wait > 0 && !r.faultedAt.IsZero() {
			recordDuration(all, wait)
		}
		if req.affected {
			out.Affected++
			recordDuration(affected, req.waitAfter(r.faultedAt))
			if code != "" {
				out.AffectedErrors++
			}
		}
	}
	out.Wait, out.TokenWaitOfAll, out.FirstToken = quantiles(affected), quantiles(all), quantiles(first)
}

// errorCode returns the code of the error that ended the request, or an empty string if it was complete.
func (r *request) errorCode() string {
	switch {
	case r.last.Code != "":
		return r.last.Code
	case r.err != nil:
		return "transport"
	case !r.last.Done:
		return "cut"
	}
	return ""
}

// addEngineWork adds the work of the engines beyond what the same requests need without a fault. The prompts share no
// prefix, so each first attempt needs a prefill of its whole prompt.
func (r *Resume) addEngineWork(ctx context.Context, out *ResumeResult) error {
	stats := r.killedStats
	for _, n := range r.fleet.EngineNodes() {
		if r.stopped.has(n.Address()) && len(r.killedStats) > 0 {
			continue
		}
		s, err := EngineStats(ctx, n.Address())
		if err != nil {
			return err
		}
		stats = append(stats, s)
	}
	prefilled, generated := 0, 0
	for _, s := range stats {
		prefilled += s.PrefilledTokens
		generated += s.GeneratedTokens
	}
	neededPrefill := 0
	for _, req := range r.load.requests {
		if req.maxReceived > 0 {
			neededPrefill += len(req.prompt)
		}
	}
	out.RecomputedPrefill, out.Undelivered = prefilled-neededPrefill, generated-out.Delivered
	e := engine.New()
	batch := max(r.Load*float64(e.Slots), 1)
	gap := float64(e.TokenGap+time.Duration((batch-1)*float64(e.TokenGapPerStream))) / float64(time.Millisecond)
	// A token of prefill costs 1/PrefillRate, and a generated token its part of the token gap that a batch shares.
	out.ExtraEngineMS = float64(out.RecomputedPrefill)*1000/e.PrefillRate + float64(out.Undelivered)*gap/batch
	if out.Affected > 0 {
		out.ExtraEngineMSPerAffected = out.ExtraEngineMS / float64(out.Affected)
	}
	return nil
}
