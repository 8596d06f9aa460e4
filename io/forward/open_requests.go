package forward

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"radishhollow/core/config"
)

// maxOpenLines bounds the lines that LogInFlight and LogUnfinished write.
const maxOpenLines = 50

// openRequests holds the requests that are being served, and counts them in a planned stop. It is safe for concurrent use.
type openRequests struct {
	mu       sync.Mutex
	requests map[*request]struct{}
	// stop is set from the beginning of a planned stop.
	stop *stopCounts
}

func (o *openRequests) add(q *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests == nil {
		o.requests = map[*request]struct{}{}
	}
	o.requests[q] = struct{}{}
	if o.stop != nil {
		o.stop.taken++
	}
}

// recordEnd counts the end of a request. The first call for a request counts.
func (o *openRequests) recordEnd(q *request, end requestEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, open := o.requests[q]; !open || q.ended {
		return
	}
	q.ended = true
	if o.stop != nil {
		o.stop.ends[end]++
	}
}

func (o *openRequests) remove(q *request) {
	// A request whose handler has panicked has no other end.
	o.recordEnd(q, endFailed)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.requests, q)
}

// oldestStream returns the age of the oldest stream of a service.
func (o *openRequests) oldestStream(service string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	var oldest time.Duration
	for q := range o.requests {
		if q.route.Kind == config.KindStream && q.service.Name == service {
			oldest = max(oldest, time.Since(q.arrivedAt))
		}
	}
	return oldest
}

// LogInFlight logs the requests that are being served when a planned stop begins. If the process is killed later, no other
// line may name them. The line of the stop itself is a warning, as is that of its end, because log collectors of many
// daemons may keep only warnings.
func (s *Server) LogInFlight() {
	inFlight := s.logOpen(logrus.InfoLevel, "request is in flight in a planned stop", s.open.beginStop())
	s.Log.WithField("in-flight", inFlight).Warn("planned stop begins")
}

// LogUnfinished logs the requests that are still being served, which the end of the process ends without the line that each
// request has otherwise, and the counts of the planned stop: in-flight and taken are the sum of all others.
func (s *Server) LogUnfinished() {
	open, fields := s.open.endStop()
	fields["unfinished"] = s.logOpen(logrus.WarnLevel, "request is unfinished at the end of the daemon", open)
	s.Log.WithFields(fields).Warn("requests ended")
}

// logOpen logs requests, up to maxOpenLines, and returns their number.
func (s *Server) logOpen(level logrus.Level, message string, open []*request) int {
	for _, q := range open[:min(len(open), maxOpenLines)] {
		s.Log.WithFields(logrus.Fields{
			"request": q.id, "route": q.route.Name, "service": q.service.Name, "ms": time.Since(q.arrivedAt).Milliseconds(),
		}).Log(level, message)
	}
	return len(open)
}

// logTaken logs a request that is taken during a planned stop, before it is sent to an endpoint.
func (s *Server) logTaken(q *request) {
	if left, limited := s.timeLeft(); limited {
		s.Log.WithFields(logrus.Fields{
			"request": q.id, "route": q.route.Name, "service": q.service.Name, "left-ms": left.Milliseconds(),
			"needed-ms": s.timeNeeded(q).Milliseconds(),
		}).Info("request is taken in a planned stop")
	}
}
