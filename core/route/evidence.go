package route

import (
	"slices"
	"strings"
	"time"

	"radishhollow/core/evidence"
)

// preferSound drops endpoints that are set aside if there are others. It returns such an endpoint alone if this daemon is to send
// the trial request there and this request may be it.
func (t *Table) preferSound(pool []*endpoint, criteria Criteria) []*endpoint {
	if t.Evidence == nil || !t.Evidence.HasSetAside() {
		return pool
	}
	return filterOrAll(t.takeTrial(pool, criteria), func(e *endpoint) bool {
		return !t.Evidence.IsSetAside(e.listing.Name, e.listing.Incarnation)
	})
}

func (t *Table) takeTrial(pool []*endpoint, criteria Criteria) []*endpoint {
	for _, e := range pool {
		if criteria.mayTry && t.Evidence.TakeTrial(e.listing.Name, criteria.Route, e.listing.Incarnation) {
			return []*endpoint{e}
		}
	}
	return pool
}

// EvidenceEndpoints returns the listed endpoints of a name that are neither leaving nor dead, with what is known of their load.
func (t *Table) EvidenceEndpoints(name string) []evidence.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var list []evidence.Endpoint
	for _, e := range t.endpoints {
		leaving, dead := t.markStatus(e, now)
		if e.listing.Name != name || leaving || dead {
			continue
		}
		running, _ := e.observedLoad(t.policy)
		list = append(list, evidence.Endpoint{Incarnation: e.listing.Incarnation, Slots: e.slotCount(), Running: running})
	}
	slices.SortFunc(list, func(a, b evidence.Endpoint) int { return strings.Compare(a.Incarnation, b.Incarnation) })
	return list
}
