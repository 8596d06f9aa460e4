package rollout

import (
	"maps"
	"slices"
	"time"

	"radishhollow/core/kv"
)

const (
	// holdTime is the longest time for which endpoints of a new version get nothing because their order may be on the way.
	holdTime = 3 * time.Second
	// unreadHoldTime is the longest such time while this process has not read any orders yet. It then can't know of a
	// version that was rolled back before it started, unless a peer tells it.
	unreadHoldTime = 30 * time.Second
	// forgetTime is the time after which a version that is no longer listed is forgotten.
	forgetTime = time.Minute
	// maxPast is the number of replaced roll-outs of a service that are kept, in case the store comes back from a copy with
	// one of their orders.
	maxPast = 4
	// minSubset is the lowest number of the target's endpoints that are observed, so that the worst one can be left out.
	minSubset = 3
)

// service is what a Controller knows of one service.
type service struct {
	name string
	// current is the roll-out with the highest revision, or nil, and past are those that it replaced, the last one first.
	current *rollout
	past    []*rollout
	// withdrawn is the highest revision of a deletion of the order.
	withdrawn kv.Revision
	// status is what the store was last seen to hold, at statusRevision; isStatusKnown is false before.
	status         Status
	statusRevision kv.Revision
	isStatusKnown  bool
	// barred holds the versions that were rolled back or replaced.
	barred map[string]bool
	// versions holds the versions that were listed, and endpoints the list at the last evaluation.
	versions  map[string]*version
	endpoints []Endpoint
	evidence  tracker
	// isMissing states that the configuration lacks the service. Its roll-out waits.
	isMissing bool
}

// version is a version of a service's endpoints that was listed.
type version struct {
	firstSeen, lastSeen time.Time
	registered          kv.Revision
	accepted            bool
}

// observeEndpoints records the listed endpoints. orders returns the revision up to which orders have been seen.
func (s *service) observeEndpoints(list []Endpoint, orders func() kv.Revision, now time.Time) {
	s.endpoints = list
	for _, e := range list {
		v := s.versions[e.Version]
		if v == nil {
			v = &version{firstSeen: now, registered: e.Registered}
			s.versions[e.Version] = v
		}
		v.lastSeen = now
		if e.Registered.Before(v.registered) {
			v.registered = e.Registered
		}
	}
	maps.DeleteFunc(s.versions, func(name string, v *version) bool {
		return now.Sub(v.lastSeen) > forgetTime && !s.isTarget(name)
	})
	s.acceptOldest()
	for _, v := range s.versions {
		v.accepted = v.accepted || s.isHoldOver(v, orders, now)
	}
}

// acceptOldest accepts the version that was registered first if there is no other.
func (s *service) acceptOldest() {
	var oldest *version
	for _, name := range slices.Sorted(maps.Keys(s.versions)) {
		v := s.versions[name]
		if v.accepted {
			return
		}
		if !s.isTarget(name) && (oldest == nil || v.registered.Before(oldest.registered)) {
			oldest = v
		}
	}
	if oldest != nil {
		oldest.accepted = true
	}
}

// isHoldOver reports whether an order for a version would be known.
func (s *service) isHoldOver(v *version, orders func() kv.Revision, now time.Time) bool {
	if orders == nil {
		return true
	}
	longest := holdTime
	if orders().IsZero() {
		longest = unreadHoldTime
	}
	return now.Sub(v.firstSeen) >= longest || !orders().Before(v.registered)
}

func (s *service) isTarget(version string) bool {
	return s.current != nil && s.current.order.Target == version
}

// known returns the versions that may be used as far as holds are concerned.
func (s *service) known() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(s.versions)) {
		if s.versions[name].accepted || s.isTarget(name) {
			names = append(names, name)
		}
	}
	return names
}

// countReady returns the numbers of ready endpoints of the target and of other versions that are not barred.
func (s *service) countReady() (target, other int) {
	for _, e := range s.endpoints {
		switch {
		case !e.Ready:
		case s.isTarget(e.Version):
			target++
		case !s.barred[e.Version]:
			other++
		}
	}
	return target, other
}

// subset returns the incarnations of the target's endpoints that are observed: as many as get about as much of share as
// the other endpoints of the rest, but enough to compare them with each other.
func (s *service) subset(share float64) []string {
	var ready []string
	for _, e := range s.endpoints {
		if e.Ready && s.isTarget(e.Version) {
			ready = append(ready, e.Incarnation)
		}
	}
	_, other := s.countReady()
	return first(ready, s.name+"\x00"+s.current.order.Target, max(int(share*float64(other)+0.999), minSubset))
}

// scope returns what rules are made from. share is the part of the requests that is observed.
func (s *service) scope(share float64) *scope {
	sc := &scope{service: s.name, known: s.known(), barred: slices.Sorted(maps.Keys(s.barred))}
	if r := s.current; r != nil {
		sc.target, sc.phase, sc.since, sc.pace, sc.checked = r.order.Target, r.phase, r.since, r.pace, r.checked
		sc.isSuspect = r.lastVerdict.evidence >= suspicion
		if r.phase == Observing {
			sc.subset = s.subset(share)
		}
	}
	sc.unrestricted = true
	for _, e := range s.endpoints {
		isOther := sc.target == "" || e.Version != sc.target
		if sc.allows(e.Version) && (isOther || sc.phase == Completed) {
			sc.unrestricted = false
		}
	}
	return sc
}

// publish makes the present state visible to picks. The caller holds mu.
func (c *Controller) publish(now time.Time) {
	scopes := make(map[string]*scope, len(c.services))
	for name, s := range c.services {
		if s.isMissing || s.current == nil && len(s.barred) == 0 && len(s.versions) == 0 {
			continue
		}
		if r := s.current; r != nil && r.phase == Observing {
			c.setRate(r, now)
		}
		scopes[name] = s.scope(c.Share / 2)
	}
	c.scopes.Store(&scopes)
}
