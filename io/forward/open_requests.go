package forward

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// maxUnfinishedLines bounds the lines that LogUnfinished writes.
const maxUnfinishedLines = 50

// openRequests holds the requests that are being served. It is safe for concurrent use.
type openRequests struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func (o *openRequests) add(q *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.requests == nil {
		o.requests = map[*request]struct{}{}
	}
	o.requests[q] = struct{}{}
}

func (o *openRequests) remove(q *request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.requests, q)
}

// LogUnfinished logs the requests that are still being served. The end of the process ends them without the line that each
// request has otherwise.
func (s *Server) LogUnfinished() {
	s.open.mu.Lock()
	defer s.open.mu.Unlock()
	lines := 0
	for q := range s.open.requests {
		if lines++; lines > maxUnfinishedLines {
			break
		}
		s.Log.WithFields(logrus.Fields{
			"request": q.id, "route": q.route.Name, "service": q.service.Name, "ms": time.Since(q.arrivedAt).Milliseconds(),
		}).Warn("request is unfinished at the end of the daemon")
	}
	s.Log.WithField("unfinished", len(s.open.requests)).Info("requests ended")
}
