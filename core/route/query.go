package route

import "time"

// freshReportAge is the age up to which a report tells a slow endpoint from a stalled one. It covers two poll intervals
// of a busy endpoint with their jitter, at the default load-poll of 250 ms.
const freshReportAge = 700 * time.Millisecond

// Health reports whether an endpoint is alive, and by which factor its token gap exceeds its recent mean. The factor is
// 1 without a fresh report.
func (t *Table) Health(address string) (alive bool, slowdown float64) {
	if !t.Alive(address) {
		return false, 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || e.meanTokenGap <= 0 || time.Since(e.reportedAt) > freshReportAge {
		return true, 1
	}
	return true, max(float64(e.report.TokenGap)/e.meanTokenGap, 1)
}

// stalledAfter is the report age above which a busy endpoint counts as stalled: four of its poll intervals at the
// default load-poll of 250 ms.
const stalledAfter = time.Second

// Stalled reports whether an endpoint with work of this daemon has stopped responding: since its last report a stream
// on it timed out or a connection was refused, or several reports in a row are missing.
func (t *Table) Stalled(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || !e.reported {
		return false
	}
	return e.unreachable || time.Since(e.reportedAt) > stalledAfter
}

// HasQueuedWork reports whether an endpoint has waiting requests or pending prefill tokens in a fresh report.
func (t *Table) HasQueuedWork(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || !e.reported || e.unreachable || time.Since(e.reportedAt) > freshReportAge {
		return false
	}
	return e.report.Waiting > 0 || e.report.WaitingPrefillTokens > 0
}

// Reports returns the last report of every reachable endpoint of a kind.
func (t *Table) Reports(kind Kind) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []Report
	for _, e := range t.endpoints {
		if e.listing.Kind == kind && e.reported && !e.unreachable {
			reports = append(reports, e.report)
		}
	}
	return reports
}

// SubsetsPolled reports whether every endpoint of the subsets has sent a report or proved unreachable.
func (t *Table) SubsetsPolled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.synced {
		return false
	}
	for _, g := range t.groups {
		for _, e := range g.subset {
			if !e.reported && !e.unreachable {
				return false
			}
		}
	}
	return true
}

// Synced reports whether an instance list has been received.
func (t *Table) Synced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// Listings returns the instance list, and false if none has been received.
func (t *Table) Listings() ([]Listing, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Listing, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		list = append(list, e.listing)
	}
	return list, t.synced
}

// ListedName returns the name that the instance list has for an address, or an empty string.
func (t *Table) ListedName(address string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[address]; e != nil {
		return e.listing.Name
	}
	return ""
}

// Slots returns the number of slots open to new work on the usable endpoints of a name's subset, and the number of
// requests that run or wait on them.
func (t *Table) Slots(kind Kind, name string) (slots, busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[groupKey{kind, name}]
	if g == nil {
		return 0, 0
	}
	total, now := 0.0, time.Now()
	for _, e := range g.subset {
		leaving, dead := t.markStatus(e, now)
		if !leaving && !dead && !e.unreachable {
			total += e.newWorkSlots(t.policy.Headroom)
			busy += e.load()
		}
	}
	return int(total), busy
}

// InFlight returns the number of unreleased choices of a name on this daemon.
func (t *Table) InFlight(kind Kind, name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	if g := t.groups[groupKey{kind, name}]; g != nil {
		for _, e := range g.all {
			total += e.inFlight
		}
	}
	return total
}
