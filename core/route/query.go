package route

import "time"

// freshFor is the age up to which a report tells a slow endpoint from one that has stopped. It covers two poll
// intervals of a busy endpoint with their jitter.
const freshFor = 700 * time.Millisecond

// Health tells whether an endpoint is alive, and by which factor its token gap exceeds its recent mean. The factor
// is 1 without a fresh report.
func (t *Table) Health(address string) (alive bool, slow float64) {
	if !t.Alive(address) {
		return false, 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || e.gapMean <= 0 || time.Since(e.reportedAt) > freshFor {
		return true, 1
	}
	return true, max(float64(e.report.TokenGap)/e.gapMean, 1)
}

// stalledAfter is four poll intervals of a busy endpoint.
const stalledAfter = time.Second

// Stalled tells whether an endpoint with work of this daemon has stopped answering: a stream on it went silent or a
// connection was refused since its last report, or several reports in a row are missing.
func (t *Table) Stalled(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || !e.reported {
		return false
	}
	return e.unreachable || time.Since(e.reportedAt) > stalledAfter
}

// HasQueuedWork tells from a fresh report whether an endpoint has requests or prompts waiting.
func (t *Table) HasQueuedWork(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[address]
	if e == nil || !e.reported || e.unreachable || time.Since(e.reportedAt) > freshFor {
		return false
	}
	return e.report.Waiting > 0 || e.report.WaitingPrefillTokens > 0
}

// Reports returns the last report of every endpoint of a kind that has reported.
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

// SubsetsPolled tells whether every endpoint of the subsets has reported or failed to.
func (t *Table) SubsetsPolled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.synced {
		return false
	}
	for _, m := range t.groups {
		for _, e := range m.subset {
			if !e.reported && !e.unreachable {
				return false
			}
		}
	}
	return true
}

// Synced tells whether there was an instance list.
func (t *Table) Synced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// Listings returns the instance list, and false where there was none yet.
func (t *Table) Listings() ([]Listing, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Listing, 0, len(t.endpoints))
	for _, e := range t.endpoints {
		list = append(list, e.listing)
	}
	return list, t.synced
}

// ListedName returns the name that the instance list gives an address, or an empty string.
func (t *Table) ListedName(address string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[address]; e != nil {
		return e.listing.Name
	}
	return ""
}

// Slots returns the slots of a name's usable endpoints in the subset that new work may use, and those in use.
func (t *Table) Slots(kind Kind, name string) (slots, busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.groups[group{kind, name}]
	if m == nil {
		return 0, 0
	}
	total, now := 0.0, time.Now()
	for _, e := range m.subset {
		leaving, dead := t.marked(e, now)
		if !leaving && !dead && !e.unreachable {
			total += e.newWorkSlots(t.policy.Headroom)
			busy += e.load()
		}
	}
	return int(total), busy
}

// InFlight returns the number of this daemon's choices of a name that are not released.
func (t *Table) InFlight(kind Kind, name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	if m := t.groups[group{kind, name}]; m != nil {
		for _, e := range m.all {
			total += e.inFlight
		}
	}
	return total
}
