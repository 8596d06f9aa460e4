package route

import (
	"slices"
	"strings"
	"time"
)

// maxPast bounds the superseded incarnations that are remembered per address.
const maxPast = 4

// gapMemory is the number of reports over which the mean token gap is smoothed.
const gapMemory = 8

// correction is work that the last report doesn't show yet, or shows although it has ended.
type correction struct {
	at       time.Time
	sequence uint64
	slots    int
	prefill  int
	owner    *booking
}

// booking is the load that one Choice reserves.
type booking struct {
	prefill int
	resume  bool
	probe   bool
	folded  bool
	done    bool
}

// endpoint is the state of one incarnation.
type endpoint struct {
	id          uint64
	listing     Listing
	past        []string
	report      Report
	reported    bool
	reportedAt  time.Time
	unreachable bool
	peek        peek
	// slowUntil is the end of the time for which the endpoint stays slow after its start.
	slowUntil time.Time
	// unreachableAt is the time of the last Unreachable.
	unreachableAt time.Time
	gapMean       float64 // mean reported token gap, in nanoseconds
	corrections   []correction
	slots         int // sum of the corrections
	prefill       int // sum of the corrections
	inFlight      int
	resumes       int
	breaker       breaker
	inSubset      bool
}

func (e *endpoint) superseded(incarnation string) bool {
	return slices.Contains(e.past, incarnation)
}

// update takes a report and drops the corrections that it includes. It reports false for an older report.
func (e *endpoint) update(r Report, now time.Time, lag time.Duration) bool {
	if r.Sequence == 0 {
		// Plain services don't number their reports.
		r.Sequence = e.report.Sequence + 1
	}
	if e.reported && r.Sequence < e.report.Sequence {
		return false
	}
	e.report, e.reported, e.reportedAt, e.unreachable = r, true, now, false
	if gap := float64(r.TokenGap); e.gapMean == 0 {
		e.gapMean = gap
	} else {
		e.gapMean += (gap - e.gapMean) / gapMemory
	}
	kept := e.corrections[:0]
	e.slots, e.prefill = 0, 0
	for _, c := range e.corrections {
		if r.Sequence > c.sequence && now.Sub(c.at) >= lag {
			c.owner.folded = true
			continue
		}
		kept = append(kept, c)
		e.slots += c.slots
		e.prefill += c.prefill
	}
	clear(e.corrections[len(kept):])
	e.corrections = kept
	return true
}

// reserve adds the load of a choice.
func (e *endpoint) reserve(b *booking, now time.Time) {
	e.correct(correction{at: now, sequence: e.report.Sequence, slots: 1, prefill: b.prefill, owner: b})
	e.inFlight++
	if b.resume {
		e.resumes++
	}
}

// release gives the load of a choice back once.
func (e *endpoint) release(b *booking, now time.Time) {
	if b.done {
		return
	}
	b.done = true
	e.inFlight--
	if b.resume {
		e.resumes--
	}
	if b.probe {
		e.breaker.probing = false
	}
	if b.folded {
		// The report still counts the ended work.
		e.correct(correction{at: now, sequence: e.report.Sequence, slots: -1, owner: b})
		return
	}
	e.corrections = slices.DeleteFunc(e.corrections, func(c correction) bool { return c.owner == b })
	e.slots--
	e.prefill -= b.prefill
}

func (e *endpoint) correct(c correction) {
	e.corrections = append(e.corrections, c)
	e.slots += c.slots
	e.prefill += c.prefill
}

// begun drops the prompt of a choice from the prefill work.
func (e *endpoint) begun(b *booking) {
	if b.done || b.folded {
		return
	}
	for i := range e.corrections {
		if c := &e.corrections[i]; c.owner == b && c.slots > 0 {
			e.prefill -= c.prefill
			c.prefill = 0
		}
	}
	b.prefill = 0
}

// slotCount returns the reported slots, or the listed ones of an endpoint that does not report.
func (e *endpoint) slotCount() int {
	if e.report.Slots > 0 {
		return e.report.Slots
	}
	return e.listing.Slots
}

// cutOff tells whether the endpoint could not be reached lately.
func (e *endpoint) cutOff(now time.Time, p Policy) bool {
	if p.UnreachableTTL > 0 && now.Sub(e.unreachableAt) >= p.UnreachableTTL {
		return false
	}
	return e.unreachable
}

// load returns the corrected number of running and waiting requests.
func (e *endpoint) load() int {
	return max(e.report.Running+e.report.Waiting+e.slots, 0)
}

// waitingPrefill returns the corrected prompt tokens that wait for prefill.
func (e *endpoint) waitingPrefill() int {
	return max(e.report.WaitingPrefillTokens+e.prefill, 0)
}

func (e *endpoint) newWorkSlots(headroom float64) float64 {
	return float64(e.slotCount()) * (1 - headroom)
}

// serves tells whether the endpoint has the model, adapter and spec loaded.
func (e *endpoint) serves(need Criteria) bool {
	if need.Kind == KindService {
		return e.listing.Name == need.Name
	}
	if !e.reported {
		return need.Spec == "" && need.Adapter == "" && e.listing.Name == need.Name
	}
	if need.Spec != "" {
		return slices.Contains(e.report.Specs, need.Spec)
	}
	for _, spec := range e.report.Specs {
		base, extra, _ := strings.Cut(spec, "+")
		model, _, _ := strings.Cut(base, "@")
		adapter, _, _ := strings.Cut(extra, "@")
		if model == need.Name && adapter == need.Adapter {
			return true
		}
	}
	return false
}
