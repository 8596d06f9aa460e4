package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"radishhollow/core/config"
	"radishhollow/core/member"
	"radishhollow/core/route"
	"radishhollow/io/connlimit"
	"radishhollow/io/settings"
)

// Drain holds the readiness state of the daemon and the progress of a planned stop. It is safe for concurrent use.
type Drain struct {
	// draining is set when a planned stop begins, and closing when its time is over.
	draining    atomic.Bool
	closing     atomic.Bool
	initialized atomic.Bool
	// signaledAt is the time of the signal to stop if that came during the start. beganAt is set before draining, to that
	// time or to the beginning of the stop. stopGrace is the time after which the platform kills a stopping daemon, or zero.
	signaledAt atomic.Pointer[time.Time]
	beganAt    time.Time
	stopGrace  time.Duration
	// ending ends statusMargin before the connections in use are closed, by a call of end.
	ending context.Context
	end    context.CancelFunc
	// drainDelay is the time for which a stopping daemon still accepts requests, so that the load balancer can notice
	// that it is not ready. timeout limits the wait for the requests in flight after it, unless it is zero.
	drainDelay, timeout time.Duration
	documents           *config.Store
	table               *route.Table
	isolation           *member.IsolationDetector
	// peers is nil if the daemon need not hear from its peers before it is ready.
	peers *peerCatchUp
	// delegated returns the number of requests that are being served for peers. It may be nil.
	delegated func() int
	// needsReports is set if the endpoints report their load, which must then be known before the daemon is ready.
	needsReports bool
}

func newDrain(
	s settings.Settings, documents *config.Store, table *route.Table, isolation *member.IsolationDetector,
) *Drain {
	d := &Drain{
		stopGrace: s.Forward.StopGrace.Duration, drainDelay: s.Timeouts.DrainDelay.Duration, timeout: s.Timeouts.Drain.Duration,
		documents: documents, table: table, isolation: isolation,
		needsReports: s.Interface == settings.InterfaceOwn,
	}
	d.ending, d.end = context.WithCancel(context.Background())
	return d
}

const (
	// killMargin is the part of the stop grace that is left for the end of the process after its last request.
	killMargin = 300 * time.Millisecond
	// statusMargin is the time in which the callers of the last requests get a status before their connections are closed.
	statusMargin = 150 * time.Millisecond
)

// recordSignal notes the time of the signal to stop, from which the platform counts, if it is called before begin.
func (d *Drain) recordSignal() {
	now := time.Now()
	d.signaledAt.Store(&now)
}

// begin marks the daemon as stopping. It must be called once, before stop.
func (d *Drain) begin() {
	d.beganAt = time.Now()
	if signaledAt := d.signaledAt.Load(); signaledAt != nil {
		d.beganAt = *signaledAt
	}
	d.draining.Store(true)
	if left, limited := d.TimeLeft(); limited {
		time.AfterFunc(left, d.end)
	}
}

// TimeLeft returns the time in which a request must be complete, and false if that is not limited because no planned
// stop has begun, or it waits without limit for the requests in flight.
func (d *Drain) TimeLeft() (left time.Duration, limited bool) {
	left, limited = d.untilClose()
	return left - statusMargin, limited
}

// untilClose returns the time until the connections in use are closed, and false if that is not limited.
func (d *Drain) untilClose() (left time.Duration, limited bool) {
	if !d.draining.Load() || (d.stopGrace <= 0 && d.timeout <= 0) {
		return 0, false
	}
	limit := d.drainDelay + d.timeout
	if d.stopGrace > 0 && (d.timeout <= 0 || d.stopGrace-killMargin < limit) {
		limit = d.stopGrace - killMargin
	}
	return time.Until(d.beganAt.Add(limit)), true
}

// Ending returns a context that ends when TimeLeft has passed.
func (d *Drain) Ending() context.Context { return d.ending }

// Draining reports whether a planned stop has begun. Requests are still accepted for a while.
func (d *Drain) Draining() bool { return d.draining.Load() }

// Closing reports whether the daemon closes connections that are still in use.
func (d *Drain) Closing() bool { return d.closing.Load() }

// checkInitialized marks the daemon as initialized once it has a configuration, an instance list and, if needed, the
// first load reports, which determine the queue's capacity. It is called repeatedly, by the refresher with
// settings.InterfaceOwn and by initMonitor with settings.InterfaceForward. Later changes of the list don't reset the
// state, so that a new endpoint does not remove a serving daemon from the load balancer.
func (d *Drain) checkInitialized() {
	if d.initialized.Load() || d.documents.Current().Revision() == 0 {
		return
	}
	if d.needsReports && !d.table.SubsetsPolled() {
		return
	}
	if d.peers != nil && d.peers.pending() {
		return
	}
	if d.table.Synced() {
		d.initialized.Store(true)
	}
}

// Ready reports whether the load balancer should send new requests to this daemon. A daemon that is not initialized
// would refuse all of them.
func (d *Drain) Ready() bool {
	return !d.Draining() && d.initialized.Load() && !d.isolation.Isolated()
}

// closeWhenDraining wraps a handler to ask clients to close their connections during a planned stop, so that no client
// sends a request on a connection that is about to be closed. It also asks in responses to requests that arrived before
// the stop, unless their header has been sent. A client that has sent its next request already is asked in the response to
// that one.
func (d *Drain) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&drainWriter{ResponseWriter: w, drain: d, request: r}, r)
	})
}

// servesNext reports whether the connection of a request is kept for the next one. That is so only while new connections are
// accepted, too, so that a client that is always one request ahead does not keep the daemon running.
func (d *Drain) servesNext(r *http.Request) bool {
	left, limited := d.TimeLeft()
	return limited && left >= minAcceptTime && connlimit.IsFollowed(r.Context())
}

// drainWriter is the ResponseWriter of a request that may be in flight during a planned stop.
type drainWriter struct {
	http.ResponseWriter
	drain   *Drain
	request *http.Request
}

// Unwrap is for http.ResponseController.
func (w *drainWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header.
func (w *drainWriter) WriteHeader(status int) {
	w.askToClose()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header if that has not been written.
func (w *drainWriter) Write(data []byte) (int, error) {
	w.askToClose()
	return w.ResponseWriter.Write(data)
}

// Flush sends what has been written, and the header if that has not been written.
func (w *drainWriter) Flush() {
	w.askToClose()
	// An error means that the caller has disconnected, which the next write reports.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}

// askToClose has no effect after the header has been written.
func (w *drainWriter) askToClose() {
	if w.drain.Draining() && !w.drain.servesNext(w.request) {
		w.Header().Set("Connection", "close")
	}
}
