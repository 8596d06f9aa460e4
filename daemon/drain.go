package daemon

import (
	"net/http"
	"sync/atomic"
	"time"

	"radishhollow/core/config"
	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/io/settings"
)

// Drain is the state of a planned stop.
type Drain struct {
	draining atomic.Bool
	closing  atomic.Bool
	surveyed atomic.Bool
	delay    time.Duration
	store    *config.Store
	table    *route.Table
	reach    *member.IsolationDetector
	// reports tells that endpoints report their load, which is then known before the daemon is ready.
	reports bool
}

func newDrain(s settings.Settings, store *config.Store, table *route.Table, reach *member.IsolationDetector) *Drain {
	return &Drain{
		delay: s.Timeouts.DrainDelay.Duration, store: store, table: table, reach: reach,
		reports: s.Interface == settings.InterfaceOwn,
	}
}

// Draining tells whether a planned stop has begun.
func (d *Drain) Draining() bool { return d.draining.Load() }

// Closing tells whether the daemon closes connections that are still in use.
func (d *Drain) Closing() bool { return d.closing.Load() }

// survey records that the first load reports are in and the queue's capacity follows them. Later changes of the list
// leave it as it is, so that a new endpoint does not take a serving daemon out of the load balancer.
func (d *Drain) survey() {
	if d.surveyed.Load() || d.store.Current().Revision() == 0 {
		return
	}
	if d.reports && !d.table.SubsetsPolled() {
		return
	}
	if d.table.Synced() {
		d.surveyed.Store(true)
	}
}

// Ready tells whether the load balancer should send new requests to this daemon. Without a configuration, an instance
// list and load reports, which the survey has seen, it would refuse all of them.
func (d *Drain) Ready() bool {
	return !d.Draining() && d.surveyed.Load() && !d.reach.Isolated()
}

// closeIdle asks clients to close their connections during a planned stop, so that none sends a request on a
// connection that is about to be closed.
func (d *Drain) closeIdle(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.Draining() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
