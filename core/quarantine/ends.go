package quarantine

import (
	"slices"
	"time"
)

const (
	// evidenceExpiry is the age above which evidence no longer counts. It is longer than the longest hold, so that the
	// ends of a group outlast the time until its next trial.
	evidenceExpiry = 10 * time.Minute
	// sameEnd is the time within which reports on one endpoint are about the same end: several daemons see it.
	sameEnd = 2 * time.Second
	// maxEnds is the maximum number of ends that are kept.
	maxEnds = 256
	// maxParts is the maximum number of parts of one end.
	maxParts = 64
	// maxEndpointLength is the maximum length of the endpoint in a peer's report.
	maxEndpointLength = 256
)

// end is an End with the parts of which it has not been cleared.
type end struct {
	endpoint string
	at       time.Time
	parts    []Part
	// rank is the order in which ends are sent.
	rank int
}

// ends holds the ends in the order of their times, and by their endpoints and parts.
type ends struct {
	list       []*end
	byEndpoint map[string][]*end
	byPart     map[Part][]*end
}

// find returns the end that a report on an endpoint is about, or nil if it is a new one.
func (s *ends) find(endpoint string, at time.Time) *end {
	for _, e := range s.byEndpoint[endpoint] {
		if e.at.Sub(at).Abs() < sameEnd {
			return e
		}
	}
	return nil
}

// add adds a report and reports whether it adds an end or a part to what is known.
func (s *ends) add(endpoint string, at time.Time, parts []Part) bool {
	if s.byPart == nil {
		s.byPart, s.byEndpoint = map[Part][]*end{}, map[string][]*end{}
	}
	e := s.find(endpoint, at)
	known := e != nil
	if !known {
		if len(s.list) >= maxEnds {
			s.remove(s.leastUseful())
		}
		e = &end{endpoint: endpoint, at: at}
		s.insert(e)
		s.byEndpoint[endpoint] = append(s.byEndpoint[endpoint], e)
	} else if at.Before(e.at) {
		// The earlier of two times is kept; otherwise daemons that report an end to each other would renew it forever.
		s.list = slices.DeleteFunc(s.list, func(other *end) bool { return other == e })
		e.at = at
		s.insert(e)
	}
	return s.addParts(e, parts) || !known
}

func (s *ends) insert(e *end) {
	i := len(s.list)
	for i > 0 && s.list[i-1].at.After(e.at) {
		i--
	}
	s.list = slices.Insert(s.list, i, e)
}

func (s *ends) addParts(e *end, parts []Part) bool {
	changed := false
	for _, p := range parts {
		if len(e.parts) >= maxParts || slices.Contains(e.parts, p) {
			continue
		}
		e.parts = append(e.parts, p)
		s.byPart[p] = append(s.byPart[p], e)
		changed = true
	}
	return changed
}

// clear removes a part from the ends up to a time and reports whether there were any.
func (s *ends) clear(p Part, upTo time.Time) bool {
	changed := false
	for _, e := range slices.Clone(s.byPart[p]) {
		if e.at.After(upTo) {
			continue
		}
		e.parts = slices.DeleteFunc(e.parts, func(other Part) bool { return other == p })
		unlink(s.byPart, p, e)
		changed = true
	}
	return changed
}

func (s *ends) remove(e *end) {
	for _, p := range e.parts {
		unlink(s.byPart, p, e)
	}
	unlink(s.byEndpoint, e.endpoint, e)
	s.list = slices.DeleteFunc(s.list, func(other *end) bool { return other == e })
}

// unlink removes an end from an index.
func unlink[K comparable](index map[K][]*end, key K, e *end) {
	rest := slices.DeleteFunc(index[key], func(other *end) bool { return other == e })
	if len(rest) == 0 {
		delete(index, key)
		return
	}
	index[key] = rest
}

// leastUseful returns the oldest end without parts, or else the oldest one that shares no part with another, or else the
// oldest one.
func (s *ends) leastUseful() *end {
	for _, e := range s.list {
		if len(e.parts) == 0 {
			return e
		}
	}
	for _, e := range s.list {
		if !s.repeated(e) {
			return e
		}
	}
	return s.list[0]
}

// repeated reports whether one of the end's parts is in another end as well.
func (s *ends) repeated(e *end) bool {
	return slices.ContainsFunc(e.parts, func(p Part) bool { return len(s.byPart[p]) > 1 })
}

// expire removes expired ends and reports whether there were any.
func (s *ends) expire(now time.Time) bool {
	changed := false
	for len(s.list) > 0 && now.Sub(s.list[0].at) > evidenceExpiry {
		s.remove(s.list[0])
		changed = true
	}
	return changed
}
