package evidence

import (
	"cmp"
	"slices"
	"time"
)

const (
	// relaySpan is the age up to which the report of a peer is passed on.
	relaySpan = badSpan
	// maxViewTallies bounds the tallies in a view, of about 70 bytes each.
	maxViewTallies = 1024
	// maxPeers bounds the daemons, by incarnation, whose reports are kept.
	maxPeers = 1024
	// forgetSpan is the time after which the counts of a daemon are forgotten. It is longer than reportExpiry, so that the
	// counts of a daemon that was cut off for a while are not taken for new ones.
	forgetSpan = time.Minute
)

// source identifies one start of a daemon.
type source struct{ daemon, incarnation string }

// peerState is what one daemon has reported.
type peerState struct {
	report Report
	// madeAt is the time at which the daemon made the report, by its age, and badAt that of the last report with a new bad
	// result.
	madeAt, badAt time.Time
	growth        map[Key]*growth
}

// Exchanged returns up to max reports for a view: the own one first, then those of peers that have seen bad results last, then
// the freshest. It is empty in calm operation.
func (r *Register) Exchanged(max int) []Report {
	own := r.Own()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	reports, tallies := []Report(nil), len(own.Tallies)
	if len(own.Tallies)+len(own.InFlight) > 0 {
		reports = append(reports, own)
	}
	var peers []*peerState
	for s, p := range r.peers {
		if s.daemon != r.Self && now.Sub(p.madeAt) < relaySpan {
			peers = append(peers, p)
		}
	}
	slices.SortFunc(peers, func(a, b *peerState) int {
		return cmp.Or(b.badAt.Compare(a.badAt), b.madeAt.Compare(a.madeAt), cmp.Compare(a.report.Daemon, b.report.Daemon))
	})
	for _, p := range peers {
		if len(reports) >= max || tallies+len(p.report.Tallies) > maxViewTallies {
			break
		}
		report := p.report
		report.Age = now.Sub(p.madeAt)
		reports, tallies = append(reports, report), tallies+len(report.Tallies)
	}
	return reports
}

// Merge takes over the reports of peers, and reports whether one of them holds news for other peers: the first bad result of an
// endpoint after a while.
func (r *Register) Merge(reports []Report) bool {
	services := make(map[string]bool)
	for _, report := range reports {
		for _, t := range report.Tallies {
			services[t.Service] = true
		}
	}
	targets := r.targets(services)
	inForce := make(map[string]bool, len(services))
	for service := range services {
		inForce[service] = r.InForce(service)
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.init(now)
	news := false
	for _, report := range reports {
		if report.Daemon == r.Self || report.Daemon == "" || report.Age < 0 || report.Age >= reportExpiry {
			continue
		}
		report.Tallies = slices.DeleteFunc(slices.Clone(report.Tallies), func(t Tally) bool { return !inForce[t.Service] })
		news = r.ingest(report, targets, now) || news
	}
	return news
}

// ingest takes over one report, also the own one, unless it is older than the last one of the same start of the daemon.
func (r *Register) ingest(report Report, targets map[string]string, now time.Time) (news bool) {
	s := source{report.Daemon, report.Incarnation}
	p := r.peers[s]
	known := p != nil
	if !known {
		if len(r.peers) >= maxPeers {
			return false
		}
		p = &peerState{growth: make(map[Key]*growth)}
		r.peers[s] = p
	} else if report.Sequence <= p.report.Sequence {
		return false
	}
	madeAt := now.Add(-report.Age)
	p.report, p.madeAt = report, madeAt
	for _, t := range report.Tallies {
		// The counts of a daemon that was not known may be much older than the last seconds.
		isOld := !known && (now.Sub(r.startedAt) < reportExpiry || targets[t.Service] != "") && report.Daemon != r.Self
		g := p.growthOf(t, isOld)
		added := g.add(t, r.bucketIndex(madeAt))
		g.seenAt = now
		r.setKnown(t.Key, now)
		if added.bad() > 0 {
			p.badAt, g.badAt = madeAt, madeAt
		}
		if t.Endpoint != "" && added.requests+added.bad() > 0 {
			news = r.observe(t.Key, added, report.Daemon == r.Self, madeAt, now) || news
		}
	}
	return news
}

// growthOf returns the growth of a tally. The counts of a new one are no growth if they are old.
func (p *peerState) growthOf(t Tally, isOld bool) *growth {
	g := p.growth[t.Key]
	if g == nil {
		g = &growth{}
		p.growth[t.Key] = g
		if isOld {
			g.set(t)
		}
	}
	return g
}

func (r *Register) setKnown(key Key, now time.Time) {
	k := r.known[key]
	if now.Sub(k.last) >= reportExpiry {
		k.first = now
	}
	k.last = now
	r.known[key] = k
}

// observe passes the growth of an endpoint's tally on to its standing, and reports whether it is news.
func (r *Register) observe(key Key, added figures, own bool, madeAt, now time.Time) (news bool) {
	if st := r.standings[endpointKey{key.Service, key.Endpoint}]; st != nil {
		st.observe(key.Route, added, own, now)
	}
	if own || added.bad() == 0 {
		return false
	}
	news = !r.isBad(key, now)
	r.setBad(key, madeAt)
	return news
}

// dropOld drops the daemons and tallies that have not been heard of for a while.
func (r *Register) dropOld(now time.Time) {
	for s, p := range r.peers {
		if now.Sub(p.madeAt) >= forgetSpan {
			delete(r.peers, s)
			continue
		}
		for key, g := range p.growth {
			if now.Sub(g.seenAt) >= forgetSpan {
				delete(p.growth, key)
			}
		}
	}
}

// Reports returns the reports of all daemons heard from in the last 10 s, including this one, with the tallies of services
// that have a roll-out: the target version by endpoint, the others summed with an empty Key.Endpoint. Each count occurs once, so
// tallies may be added up.
func (r *Register) Reports() []Report {
	own := r.Own()
	targets := r.targets(r.knownServices())
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	reports := []Report{forRollouts(own, targets)}
	for s, p := range r.peers {
		if s.daemon == r.Self || now.Sub(p.madeAt) >= reportExpiry {
			continue
		}
		report := forRollouts(p.report, targets)
		report.Age = now.Sub(p.madeAt)
		reports = append(reports, report)
	}
	slices.SortFunc(reports[1:], func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(a.Age, b.Age))
	})
	return reports
}

// knownServices returns the services in the tallies of all daemons, and those with endpoints that are set aside.
func (r *Register) knownServices() map[string]bool {
	services := r.ownServices()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		for _, t := range p.report.Tallies {
			services[t.Service] = true
		}
	}
	for key := range r.standings {
		services[key.service] = true
	}
	return services
}

// forRollouts returns a report with the tallies that the comparison of versions needs.
func forRollouts(report Report, targets map[string]string) Report {
	var tallies []Tally
	for _, t := range report.Tallies {
		if target := targets[t.Service]; target != "" && (t.Version == target) == (t.Endpoint != "") {
			tallies = append(tallies, t)
		}
	}
	report.Tallies = tallies
	return report
}
