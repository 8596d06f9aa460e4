package route

import (
	"slices"
	"strings"
	"time"

	"radishhollow/core/rollout"
)

// maxPastIncarnations bounds the superseded incarnations kept per address.
const maxPastIncarnations = 4

// tokenGapWindow is the number of reports in the moving average of the token gap.
const tokenGapWindow = 8

// loadCorrection adjusts the last report for a request that it does not include yet, or still includes after its end.
type loadCorrection struct {
	at time.Time
	// sequence is the number of the last report when the correction was added.
	sequence uint64
	slots    int
	prefill  int
	owner    *reservation
}

// reservation is the load that one Choice reserves.
type reservation struct {
	prefill int
	resume  bool
	// trial is set if the request is the trial request of an open circuit.
	trial bool
	// inReport is set once a report includes the request.
	inReport bool
	released bool
	// limited is set if the request has a place under the limit of the endpoint, and sent once it is sent.
	limited, sent bool
	// rejected is set if the endpoint has rejected the request, and at is the time of the reservation.
	rejected bool
	at       time.Time
	// statements is the number of the endpoint's statements before the choice; see statedState.
	statements uint64
	// rule is the rule of a roll-out by which the endpoint was picked.
	rule rollout.Rule
}

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	id               uint64
	listing          Listing
	pastIncarnations []string
	report           Report
	reported         bool
	reportedAt       time.Time
	// unreachable is set by SetUnreachable and SetAddressUnreachable, and cleared by the next report. The choice
	// of endpoints and Usable apply Policy.UnreachableTTL to it; the other methods of Table use it without that limit.
	unreachable bool
	// silent reports whether the endpoint is only set unreachable because it was silent, by SetSilent.
	silent      bool
	queriedLoad recordedLoad
	// warmUpUntil is the time until which the endpoint is expected to be slow after its start.
	warmUpUntil time.Time
	// unreachableAt is the time of the last SetUnreachable or SetAddressUnreachable.
	unreachableAt     time.Time
	meanTokenGap      float64 // moving average of the reported token gaps, in nanoseconds
	corrections       []loadCorrection
	slotCorrection    int // sum of the corrections' slots
	prefillCorrection int // sum of the corrections' prefill, in tokens
	inFlight          int
	resumes           int // resumed generations in flight
	stated            statedState
	breaker           breaker
	inSubset          bool
}

func (e *endpoint) isSuperseded(incarnation string) bool {
	return slices.Contains(e.pastIncarnations, incarnation)
}

// applyReport stores a report and drops the corrections that it includes. It returns false for a report older than the
// last one.
func (e *endpoint) applyReport(r Report, now time.Time, lag time.Duration) bool {
	if r.Sequence == 0 {
		// Services don't number their reports.
		r.Sequence = e.report.Sequence + 1
	}
	if e.reported && r.Sequence < e.report.Sequence {
		return false
	}
	e.report, e.reported, e.reportedAt, e.unreachable = r, true, now, false
	if gap := float64(r.TokenGap); e.meanTokenGap == 0 {
		e.meanTokenGap = gap
	} else {
		e.meanTokenGap += (gap - e.meanTokenGap) / tokenGapWindow
	}
	kept := e.corrections[:0]
	e.slotCorrection, e.prefillCorrection = 0, 0
	for _, c := range e.corrections {
		if r.Sequence > c.sequence && now.Sub(c.at) >= lag {
			c.owner.inReport = true
			continue
		}
		kept = append(kept, c)
		e.slotCorrection += c.slots
		e.prefillCorrection += c.prefill
	}
	clear(e.corrections[len(kept):])
	e.corrections = kept
	return true
}

// reserve adds the load of a choice.
func (e *endpoint) reserve(r *reservation, now time.Time) {
	e.addCorrection(loadCorrection{at: now, sequence: e.report.Sequence, slots: 1, prefill: r.prefill, owner: r})
	e.inFlight++
	r.statements = e.stated.reserve()
	if r.resume {
		e.resumes++
	}
}

// release removes the load of a choice. Further calls have no effect.
func (e *endpoint) release(r *reservation, now time.Time) {
	if r.released {
		return
	}
	r.released = true
	e.inFlight--
	e.stated.release(r.statements)
	if r.resume {
		e.resumes--
	}
	if r.trial {
		e.breaker.trialActive = false
	}
	if r.inReport {
		// The last report still includes the ended request.
		e.addCorrection(loadCorrection{at: now, sequence: e.report.Sequence, slots: -1, owner: r})
		return
	}
	e.corrections = slices.DeleteFunc(e.corrections, func(c loadCorrection) bool { return c.owner == r })
	e.slotCorrection--
	e.prefillCorrection -= r.prefill
}

func (e *endpoint) addCorrection(c loadCorrection) {
	e.corrections = append(e.corrections, c)
	e.slotCorrection += c.slots
	e.prefillCorrection += c.prefill
}

// finishPrefill removes the prompt of a choice from the pending prefill tokens.
func (e *endpoint) finishPrefill(r *reservation) {
	if r.released || r.inReport {
		return
	}
	for i := range e.corrections {
		if c := &e.corrections[i]; c.owner == r && c.slots > 0 {
			e.prefillCorrection -= c.prefill
			c.prefill = 0
		}
	}
	r.prefill = 0
}

// slotCount returns the reported slots, or the listed ones for an endpoint that sends no reports.
func (e *endpoint) slotCount() int {
	if e.report.Slots > 0 {
		return e.report.Slots
	}
	return e.listing.Slots
}

// recentlyUnreachable reports whether the endpoint is unreachable and, if Policy.UnreachableTTL is set, was last set so
// within that time.
func (e *endpoint) recentlyUnreachable(now time.Time, p Policy) bool {
	if p.UnreachableTTL > 0 && now.Sub(e.unreachableAt) >= p.UnreachableTTL {
		return false
	}
	return e.unreachable
}

// isUnavailable reports whether the endpoint counts as unreachable or is not ready. If silentToo is set, an endpoint that is
// only silent counts as reachable.
func (e *endpoint) isUnavailable(now time.Time, p Policy, silentToo bool) bool {
	if e.reported && e.report.State != StateReady {
		return true
	}
	return e.recentlyUnreachable(now, p) && (!silentToo || !e.silent)
}

// isBlocked reports whether the circuit breaker keeps requests from the endpoint. If silentToo is set, silences do not.
func (e *endpoint) isBlocked(now time.Time, silentToo bool) bool {
	return !e.breaker.allows(now) && (!silentToo || !e.breaker.isBlockedBySilence(now))
}

// load returns the number of running and waiting requests: those of the last report plus the corrections.
func (e *endpoint) load() int {
	return max(e.report.Running+e.report.Waiting+e.slotCorrection, 0)
}

// waitingPrefill returns the prompt tokens that await prefill: those of the last report plus the corrections.
func (e *endpoint) waitingPrefill() int {
	return max(e.report.WaitingPrefillTokens+e.prefillCorrection, 0)
}

// newWorkSlots returns the number of slots without the headroom, which only resumed generations may use.
func (e *endpoint) newWorkSlots(headroom float64) float64 {
	return float64(e.slotCount()) * (1 - headroom)
}

// serves reports whether the endpoint has the required service, or the model, adapter and spec loaded.
func (e *endpoint) serves(criteria Criteria) bool {
	if criteria.Kind == KindService {
		return e.listing.Name == criteria.Name
	}
	if !e.reported {
		return criteria.Spec == "" && criteria.Adapter == "" && e.listing.Name == criteria.Name
	}
	if criteria.Spec != "" {
		return slices.Contains(e.report.Specs, criteria.Spec)
	}
	for _, spec := range e.report.Specs {
		modelSpec, adapterSpec, _ := strings.Cut(spec, "+")
		model, _, _ := strings.Cut(modelSpec, "@")
		adapter, _, _ := strings.Cut(adapterSpec, "@")
		if model == criteria.Name && adapter == criteria.Adapter {
			return true
		}
	}
	return false
}
