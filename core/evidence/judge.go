package evidence

import (
	"cmp"
	"slices"
	"time"
)

// JudgeInterval is the time between two calls of Judge.
const JudgeInterval = 200 * time.Millisecond

// windowCount is the number of windows, which are the times over which the results are compared, in buckets. In 2 s a plain endpoint gets enough requests to show a
// fault, while an engine may get one request in one or two seconds.
const windowCount = 3

var windows = [windowCount]uint32{uint32(2 * time.Second / bucketSpan), uint32(6 * time.Second / bucketSpan), bucketCount}

func windowSpan(window int) time.Duration { return time.Duration(windows[window]) * bucketSpan }

// confirmSpan is the time within which other daemons that send to an endpoint have reported on it.
const confirmSpan = 2 * time.Second

// suspect is an endpoint that is clearly worse than the others.
type suspect struct {
	key        Key
	comparison *comparison
}

// Judge sets aside and returns endpoints by the growth of the tallies in the last seconds. It is called every JudgeInterval.
func (r *Register) Judge() {
	own := r.Own()
	services := r.knownServices()
	targets := r.targets(services)
	endpoints := make(map[string][]Endpoint, len(services))
	if r.needsEndpoints(own) {
		for service := range services {
			if r.InForce(service) {
				endpoints[service] = r.Endpoints(service)
			}
		}
	}
	var members []string
	if r.Members != nil {
		members = r.Members()
	}
	now := time.Now()
	inTouch := r.InTouch == nil || r.InTouch()
	r.mu.Lock()
	r.members = members
	switch {
	case !inTouch:
		r.inTouchSince = time.Time{}
	case r.inTouchSince.IsZero():
		r.inTouchSince = now
	}
	r.ingest(own, targets, now)
	changes := r.judge(targets, endpoints, now)
	r.dropOld(now)
	r.dropUnused(now)
	r.mu.Unlock()
	for _, change := range changes {
		if r.OnChange != nil {
			r.OnChange(change)
		}
	}
}

// needsEndpoints reports whether there is anything to judge, which is not so in calm operation.
func (r *Register) needsEndpoints(own Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(own.Tallies)+len(r.badAt)+len(r.standings) > 0
}

func (r *Register) judge(targets map[string]string, endpoints map[string][]Endpoint, now time.Time) []Change {
	changes := r.returnEndpoints(endpoints, now)
	suspects := r.suspects(targets, now)
	for service, list := range endpoints {
		for _, s := range suspects {
			if s.key.Service == service && r.mayBeSetAside(s.key, list) {
				changes = append(changes, r.setAside(s, now))
			}
		}
	}
	affected := 0
	for _, st := range r.standings {
		if st.aside || st.isReturning(now) {
			affected++
		}
	}
	r.affected.Store(int32(affected))
	return changes
}

// suspects returns the endpoints that are clearly worse than the others, the worst first.
func (r *Register) suspects(targets map[string]string, now time.Time) []suspect {
	r.countBad(now)
	var suspects []suspect
	grown := r.grown(now)
	for key, bad := range r.fleetBad {
		if bad < minBad {
			continue
		}
		mayBeAlone := r.mayBeAlone(key, now)
		for w := range windows {
			if !r.isCovered(key, w, now) {
				continue
			}
			for _, kind := range []string{KindFailing, KindSlow} {
				if c := compare(kind, w, key, grown, targets[key.Service]); c.isWorse(mayBeAlone) {
					suspects = append(suspects, suspect{key, c})
				}
			}
		}
	}
	slices.SortFunc(suspects, func(a, b suspect) int {
		return cmp.Or(
			cmp.Compare(b.comparison.excess(b.comparison.total, b.comparison.remain), a.comparison.excess(a.comparison.total, a.comparison.remain)),
			compareKeys(a.key, b.key),
		)
	})
	return suspects
}

// isCovered reports whether the endpoint has been reported for most of a window. The sums of its route may have been reported for
// longer, because of other endpoints, so that its good results of the time before would be missing.
func (r *Register) isCovered(key Key, window int, now time.Time) bool {
	return window == 0 || now.Sub(r.known[key].first) >= windowSpan(window)*3/4
}

// countBad counts the bad results of each endpoint in the longest window.
func (r *Register) countBad(now time.Time) {
	index := r.bucketIndex(now)
	r.fleetBad = make(map[Key]int)
	for _, p := range r.peers {
		for key, g := range p.growth {
			if key.Endpoint == "" || now.Sub(g.badAt) > windowSpan(windowCount-1) {
				continue
			}
			if bad := g.sums(index)[windowCount-1].bad(); bad > 0 {
				r.fleetBad[key] += bad
			}
		}
	}
}

// mayBeAlone reports whether this daemon may judge by what one daemon has seen: it knows no others, or it has been in
// touch with them long enough for their reports.
func (r *Register) mayBeAlone(key Key, now time.Time) bool {
	since, bad := r.badSince[key]
	return len(r.members) < 2 || (bad && now.Sub(since) >= confirmSpan && !r.inTouchSince.IsZero() && now.Sub(r.inTouchSince) >= confirmSpan)
}

// grown returns the growth of the tallies of routes with enough bad results by daemon.
func (r *Register) grown(now time.Time) map[Key]map[string][windowCount]figures {
	routes := make(map[routeKey]bool)
	for key, bad := range r.fleetBad {
		if bad >= minBad {
			routes[routeKey{key.Service, key.Route}] = true
		}
	}
	if len(routes) == 0 {
		return nil
	}
	index := r.bucketIndex(now)
	grown := make(map[Key]map[string][windowCount]figures)
	for s, p := range r.peers {
		for key, g := range p.growth {
			if !routes[routeKey{key.Service, key.Route}] || (key.Endpoint != "" && r.fleetBad[key] < minBad) {
				continue
			}
			if grown[key] == nil {
				grown[key] = make(map[string][windowCount]figures)
			}
			sums := g.sums(index)
			for w, f := range grown[key][s.daemon] {
				sums[w].add(f)
			}
			grown[key][s.daemon] = sums
		}
	}
	return grown
}

// compare returns the comparison of an endpoint with the others of its service on the same route. While the service has a
// roll-out, endpoints of its target are compared with each other only, and so are those of the other versions: whether the
// target is bad as a whole is for the roll-out to decide.
func compare(kind string, window int, key Key, grown map[Key]map[string][windowCount]figures, target string) *comparison {
	c := &comparison{kind: kind, own: make(map[string]figures), others: make(map[string]figures)}
	for other, byDaemon := range grown {
		sameGroup := target == "" || (other.Version == target) == (key.Version == target)
		if other.Endpoint != "" || other.Service != key.Service || other.Route != key.Route || !sameGroup {
			continue
		}
		for daemon, sums := range byDaemon {
			f := sums[window]
			f.add(c.others[daemon])
			c.others[daemon] = f
		}
	}
	for daemon, sums := range grown[key] {
		f := sums[window]
		c.own[daemon] = f
		c.daemons = append(c.daemons, daemon)
		c.total.add(f)
		c.others[daemon] = c.others[daemon].without(f)
	}
	for _, f := range c.others {
		c.remain.add(f)
	}
	slices.Sort(c.daemons)
	return c
}

// mayBeSetAside reports whether an endpoint is listed, not set aside yet, and can be spared: at most half of the endpoints,
// rounded down, are set aside, and the others have slots for the requests that all endpoints run.
func (r *Register) mayBeSetAside(key Key, list []Endpoint) bool {
	aside, listed, slots, running := 0, false, 0, 0
	for _, e := range list {
		st := r.standings[endpointKey{key.Service, e.Incarnation}]
		running += e.Running
		switch {
		case st != nil && st.aside:
			if aside++; e.Incarnation == key.Endpoint {
				return false
			}
		case e.Incarnation == key.Endpoint:
			listed = true
		default:
			slots += e.Slots
		}
	}
	return listed && aside < len(list)/2 && (slots == 0 || running <= slots)
}

func (r *Register) setAside(s suspect, now time.Time) Change {
	k := endpointKey{s.key.Service, s.key.Endpoint}
	st := r.standings[k]
	if st == nil {
		st = &standing{}
		r.standings[k] = st
	}
	c := s.comparison
	st.setAside(s.key.Route, c.kind, r.usualInterval(s.key, now), now)
	_, witnesses := c.countDaemons()
	return Change{
		Service: s.key.Service, Route: s.key.Route, Endpoint: s.key.Endpoint, SetAside: true, Kind: c.kind,
		Requests: c.total.requests, Bad: c.bad(c.total), OtherRequests: c.remain.requests, OtherBad: c.bad(c.remain), Daemons: witnesses,
	}
}

// usualInterval returns the mean time between two requests to an endpoint on a route over all daemons.
func (r *Register) usualInterval(key Key, now time.Time) time.Duration {
	requests, index := 0, r.bucketIndex(now)
	for _, p := range r.peers {
		if g := p.growth[key]; g != nil {
			requests += g.sums(index)[0].requests
		}
	}
	return windowSpan(0) / time.Duration(max(requests, 1))
}

// returnEndpoints returns the endpoints that may return, and those beyond half of the listed ones, the longest set aside
// first. It drops the standings of endpoints that are no longer listed.
func (r *Register) returnEndpoints(endpoints map[string][]Endpoint, now time.Time) []Change {
	var changes []Change
	for service, list := range endpoints {
		var aside []endpointKey
		for _, e := range list {
			k := endpointKey{service, e.Incarnation}
			if st := r.standings[k]; st != nil && st.aside && st.mayReturn(now) {
				changes = append(changes, r.returnEndpoint(k, now))
			} else if st != nil && st.aside {
				aside = append(aside, k)
			}
		}
		slices.SortFunc(aside, func(a, b endpointKey) int { return r.standings[a].since.Compare(r.standings[b].since) })
		for _, k := range aside[:max(len(aside)-len(list)/2, 0)] {
			changes = append(changes, r.returnEndpoint(k, now))
		}
	}
	for k, st := range r.standings {
		isListed := slices.ContainsFunc(endpoints[k.service], func(e Endpoint) bool { return e.Incarnation == k.endpoint })
		if !isListed || (!st.aside && now.Sub(st.returnedAt) >= relapseSpan) {
			delete(r.standings, k)
		}
	}
	return changes
}

// returnEndpoint returns an endpoint. What was seen of it before no longer counts.
func (r *Register) returnEndpoint(k endpointKey, now time.Time) Change {
	st := r.standings[k]
	st.aside, st.returnedAt = false, now
	for _, p := range r.peers {
		for key, g := range p.growth {
			if key.Service == k.service && key.Endpoint == k.endpoint {
				g.forget()
			}
		}
	}
	return Change{
		Service: k.service, Route: st.route, Endpoint: k.endpoint, Kind: st.kind, Trials: st.good, After: now.Sub(st.since),
	}
}
