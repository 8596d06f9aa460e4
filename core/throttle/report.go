package throttle

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxReports is the maximum number of reports of one message that are read: a daemon that starts needs all of a peer.
	maxReports = maxRecords
	// maxVersion bounds the version in a report, so that one wrong message can't make all later ones look old.
	maxVersion = 1 << 40
	// maxNameLength is the maximum length of an address or an incarnation in a report.
	maxNameLength = 256
	// urgentTime is the time for which a change is sent before other records.
	urgentTime = 2 * time.Second
)

// Report is what daemons tell each other of one endpoint.
//
// Reports are ordered by Version and not by the times of responses: an age that is sent looks younger by the time that
// the message takes, so that two daemons with different rates could replace each other's forever. A daemon raises the
// version when a response contradicts the state that it knows. A state that is out of date but has the higher version is
// contradicted by the next response.
type Report struct {
	Endpoint Endpoint
	Version  uint64
	Limited  bool
	// Rate is the limit in requests a second, or the last one if it has ended.
	Rate float64
	// Derived is set if the endpoint is brittle and has not named the limit.
	Derived bool
	// EndedAge is the time since the limit ended, unless Limited is set.
	EndedAge time.Duration
}

func (r Report) isValid() bool {
	return r.Version > 0 && r.Version <= maxVersion && r.EndedAge >= 0 && r.Rate > 0 && !math.IsInf(r.Rate, 0) &&
		r.Endpoint.Address != "" && len(r.Endpoint.Address) <= maxNameLength && len(r.Endpoint.Incarnation) <= maxNameLength
}

// compareTo orders the states of an endpoint. Of two that were found at the same time, the stricter one is later.
func (r Report) compareTo(known *record) int {
	strictness := func(limited bool) int {
		if limited {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(r.Version, known.version),
		cmp.Compare(strictness(r.Limited), strictness(known.limited)), cmp.Compare(known.rate, r.Rate))
}

// Reports returns the reports for a peer, a random n if there are more: late changes first, and endpoints whose limit has
// ended last.
func (l *Limits) Reports(n int) []Report {
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) == 0 || n <= 0 {
		return nil
	}
	reports := make([]Report, 0, min(n, len(l.records)))
	for _, r := range l.pick(n, now) {
		reports = append(reports, r.report(now))
	}
	return reports
}

// pick returns n records in a random order that does not depend on the order of the map.
func (l *Limits) pick(n int, now time.Time) []*record {
	type ranked struct {
		*record
		order int
		rank  uint64
	}
	salt, list := l.drawSalt(), make([]ranked, 0, len(l.records))
	for _, r := range l.records {
		list = append(list, ranked{record: r, order: r.sendOrder(now), rank: combine(r.hash, salt)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(a.order, b.order), cmp.Compare(a.rank, b.rank)) })
	var records []*record
	for _, r := range list[:min(n, len(list))] {
		records = append(records, r.record)
	}
	return records
}

func (l *Limits) drawSalt() uint64 {
	if l.salt != nil {
		return l.salt()
	}
	return rand.Uint64()
}

func combine(hash, salt uint64) uint64 {
	var buffer [16]byte
	binary.BigEndian.PutUint64(buffer[:8], hash)
	binary.BigEndian.PutUint64(buffer[8:], salt)
	return xxhash.Sum64(buffer[:])
}

func (r *record) sendOrder(now time.Time) int {
	switch {
	case now.Sub(r.urgentAt) < urgentTime:
		return 0
	case r.limited:
		return 1
	default:
		return 2
	}
}

func (r *record) report(now time.Time) Report {
	report := Report{Endpoint: r.endpoint, Version: r.version, Limited: r.limited, Rate: r.rate, Derived: r.derived}
	if !r.limited {
		report.EndedAge = now.Sub(r.endedAt)
	}
	return report
}

// Merge adds a peer's reports and reports whether there were news among them, which other peers should get soon.
func (l *Limits) Merge(reports []Report) (news bool) {
	if len(reports) == 0 {
		return false
	}
	v, now := l.members.view(l.Members), time.Now()
	var changes []Change
	l.mu.Lock()
	for _, report := range reports[:min(len(reports), maxReports)] {
		if !report.isValid() {
			continue
		}
		report.Rate = clampRate(report.Rate)
		r := l.records[report.Endpoint]
		if r == nil && !report.Limited && report.EndedAge >= maxRampTime {
			continue
		}
		if r == nil {
			r = l.add(report.Endpoint, now)
		}
		news = l.merge(r, report, v, now) || news
		if change, isChange := r.change(now, true); isChange {
			changes = append(changes, change)
		}
	}
	l.mu.Unlock()
	l.notify(changes...)
	return news
}

// merge applies a report if it is later than what is known.
func (l *Limits) merge(r *record, report Report, v *view, now time.Time) (news bool) {
	l.update(r, v, now)
	before := r.binds
	order := report.compareTo(r)
	if order <= 0 {
		if order < 0 {
			r.urgentAt = now
		}
		return false
	}
	r.derived, r.wasCut = report.Derived, report.Derived && (r.wasCut || r.limited && report.Rate < r.rate)
	r.set(report.Version, report.Limited, report.Rate, now)
	if !report.Limited {
		r.endedAt = now.Add(-min(report.EndedAge, maxRampTime))
	}
	l.update(r, v, now)
	return before || r.binds
}
