package version

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"radishhollow/core/guard"
	"radishhollow/core/kv"
	"radishhollow/core/ring"
)

// Events that Register counts.
const (
	// Uniform is a stream whose service has had one version for as long as the stream can exist.
	Uniform = "uniform"
	// Own, Recorded and Base are streams whose version this daemon has recorded itself, that have a record in the key-value
	// service, and that have none there.
	Own      = "own"
	Recorded = "recorded"
	Base     = "base"
	// Written is a stream that was recorded, and Failed a batch of them that was not.
	Written = "written"
	Failed  = "failed"
	// Passed is a stream that went on without a record while the key-value service was away.
	Passed = "passed"
)

const (
	upkeepInterval = 500 * time.Millisecond
	// startSpread is the time over which the daemons of a fleet that starts read the histories. Most of them get them from a
	// peer before.
	startSpread = 2 * time.Second
	// confirmDelay is the time after the begin of an era after which the daemons confirm the history of a service that has one
	// version, over confirmSpread.
	confirmDelay  = 2 * time.Second
	confirmSpread = 2 * time.Second
	// settleSpread is the time over which the daemons would replace a base that has left.
	settleSpread = 10 * time.Second
	// queueSize is far above the streams that begin at one daemon while the key-value service is away.
	queueSize = 4096
)

// Register tells which version has begun a stream. A stream of another version than the base of its service is recorded in
// the key-value service before its first event is passed on, so that no record means the base. The base changes only once no
// stream of it can be left. Streams of the base are recorded, too, while there are others, but don't wait for it: in a new era of
// the key-value service, in which records may have been lost, no record means nothing.
//
// While a service has had no version but its base, nothing is written or read. The exported fields must be set before use.
// The functions must not call the Register. It is safe for concurrent use.
type Register struct {
	// Store is the key-value service.
	Store kv.Store
	// Services returns the services whose streams callers may take up again.
	Services func() []string
	// Listed returns the number of listed endpoints of a service by version.
	Listed func(service string) map[string]int
	// Retention returns the time after its begin for which a stream of a service may be taken up again.
	Retention func(service string) time.Duration
	// Confirmed reports whether the list of endpoints is known to be current. A daemon that was frozen, or is cut off from the
	// key-value service and its peers, does not know whether a version has joined since. If it is nil, the list always is.
	Confirmed func() bool
	// Refresh asks for news that may confirm the list. It may be nil.
	Refresh func()
	// Era returns the latest era of the key-value service.
	Era func() uint64
	// Count counts events. OnNews is called with a history that the key-value service has and that peers should get at once, and
	// OnError with the first of several failed calls. They may be nil.
	Count   func(event string)
	OnNews  func(report Report)
	OnError func(err error)

	initOnce sync.Once
	queue    *ring.Queue[*pending]
	failing  atomic.Bool

	mu       sync.Mutex
	services map[string]*service
	// kept holds the records of this daemon by key.
	kept map[string]keptRecord
	// era is the era for which kept has been written.
	era uint64
	// lease is that of new records.
	lease     kv.Lease
	leaseFrom time.Time
}

// service is what is known of the versions of a service. Register.mu guards it.
type service struct {
	name   string
	report Report
	known  bool
	// established is set once the service was uniform in the era of its history, and reset when it is not.
	established bool
	// listed holds the versions listed now, checked whether the history was read since, and alone when listed was last left
	// with one version.
	listed  []string
	checked bool
	alone   time.Time
	// lastListed holds when versions were last listed, within the retention.
	lastListed map[string]time.Time
	// due is the time of the next write by upkeep, or zero.
	due time.Time
	// reading is closed when a read of the history has ended. It is nil if there is none.
	reading chan struct{}
}

type keptRecord struct {
	pending

	at time.Time
}

func (r *Register) init() {
	r.initOnce.Do(func() {
		r.queue = ring.New[*pending](queueSize)
		r.services, r.kept = map[string]*service{}, map[string]keptRecord{}
	})
}

// Run writes records and keeps the histories up to date until ctx ends.
func (r *Register) Run(ctx context.Context) error {
	r.init()
	return guard.Run(ctx, r.loopRecord, r.loopUpkeep)
}

// Observe notes which versions are listed. It must be called after each change of the list of endpoints.
func (r *Register) Observe() {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range r.Services() {
		r.observe(name, time.Now())
	}
}

// observe notes which versions of a service are listed. The caller must hold mu.
func (r *Register) observe(name string, now time.Time) *service {
	s := r.service(name)
	listed := slices.Sorted(maps.Keys(r.Listed(name)))
	if !slices.Equal(listed, s.listed) {
		s.listed, s.checked, s.alone, s.due = listed, false, now, time.Time{}
	}
	for _, version := range listed {
		s.lastListed[version] = now
	}
	maps.DeleteFunc(s.lastListed, func(_ string, at time.Time) bool { return now.Sub(at) > r.Retention(name) })
	r.isUniform(s)
	return s
}

// service returns what is known of a service. The caller must hold mu.
func (r *Register) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{name: name, lastListed: map[string]time.Time{}, due: time.Now().Add(rand.N(startSpread))}
		r.services[name] = s
	}
	return s
}

// isUniform reports whether all streams of a service that can be taken up again are of the base version, as far as the
// history and the lists since then tell. The caller must hold mu.
func (r *Register) isUniform(s *service) bool {
	s.established = s.known && r.isAlone(s) && (s.established || r.isSettled(s))
	return s.established
}

// isSettled reports whether no record of a service can be missing. The caller must hold mu.
func (r *Register) isSettled(s *service) bool {
	return s.report.Era >= max(s.report.Revision.Era(), r.Era())
}

// Reports returns the histories that this daemon knows, for its peers.
func (r *Register) Reports() []Report {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	var reports []Report
	for _, s := range r.services {
		if s.known {
			reports = append(reports, s.report)
		}
	}
	return reports
}

// Merge applies histories of a peer and reports whether one of them is news.
func (r *Register) Merge(reports []Report) (news bool) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	services := r.Services()
	for _, report := range reports {
		if slices.Contains(services, report.Service) {
			news = r.apply(report) || news
		}
	}
	return news
}

// apply takes a history that is newer than the known one. The caller must hold mu.
func (r *Register) apply(report Report) bool {
	s := r.service(report.Service)
	if s.known && !report.Revision.After(s.report.Revision) {
		return false
	}
	s.report, s.known, s.due = report, true, time.Time{}
	r.isUniform(s)
	return true
}

func (r *Register) count(event string) {
	if r.Count != nil {
		r.Count(event)
	}
}

// setFailing notes whether the last calls to the key-value service have failed.
func (r *Register) setFailing(err error) {
	if err == nil {
		r.failing.Store(false)
		return
	}
	r.count(Failed)
	if !r.failing.Swap(true) && r.OnError != nil {
		r.OnError(err)
	}
}
