package main

import (
	"fmt"
	"net/http"
	"time"
)

// work is one run at a plain service.
type work struct{ id, method, target, host, body string }

// plain is a stand-in for a runner of a plain service, which notes what it runs.
type plain struct {
	*runner
	works []work
	// failing is set while the runner fails two of five requests with a status of its own, after it has run them.
	failing bool
	// leaving is set while the runner says in its answers that it leaves.
	leaving bool
}

func newPlain(p *play, id, place string) *plain {
	s := &plain{runner: &runner{id: id, service: "depot", place: place, slots: 6, play: p}}
	s.serve = s.handle
	return s
}

func (s *plain) handle(c *channel, request *http.Request, body []byte) bool {
	if request.URL.Path == "/healthz" {
		return c.answer(http.StatusOK, "", "", "X-Radishhollow-Upstream-Instance: "+s.id)
	}
	if s.check(c, request) {
		return true
	}
	id := request.Header.Get(idHeader)
	s.ran(id)
	s.mu.Lock()
	w := work{id: id, method: request.Method, target: request.RequestURI, host: request.Host, body: string(body)}
	s.works = append(s.works, w)
	fails, leaving := s.failing && len(s.works)%5 < 2, s.leaving
	s.mu.Unlock()
	s.play.record.add("runner %s runs %s: %s %s at host %s, %d bytes", s.id, id, w.method, w.target, w.host, len(body))
	time.Sleep(20 * time.Millisecond)
	if fails {
		s.play.record.add("runner %s has run %s and answers 503 of its own", s.id, id)
		return c.answer(http.StatusServiceUnavailable, id, "the confirmation cannot be printed now", s.signature(), "X-Radishhollow-Upstream-Load: 1,0,6")
	}
	headers := []string{s.signature(), "X-Radishhollow-Upstream-Load: 1,0,6"}
	if leaving {
		headers = append(headers, "Server-Leaving: 1")
	}
	return c.answer(http.StatusOK, id, "done "+id, headers...)
}

// ranAs returns the runs of a request.
func (s *plain) ranAs(id string) []work {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []work
	for _, w := range s.works {
		if w.id == id {
			list = append(list, w)
		}
	}
	return list
}

// depot is a deployment with runners of a plain service, which takes bookings.
type depot struct {
	*deployment
	runners []*plain
	end     func()
}

// newDepot starts the store and a runner in each of the places. The caller starts daemons and calls close.
func newDepot(p *play, prefix string, places ...string) (*depot, error) {
	d, err := newDeployment(p, configuration([]map[string]any{bookingRoute(prefix)}, []map[string]any{bookingService()}))
	if err != nil {
		return nil, err
	}
	all := &depot{deployment: d}
	var runners []*runner
	for i, place := range places {
		one := newPlain(p, fmt.Sprintf("i-%d", i+1), place)
		all.runners, runners = append(all.runners, one), append(runners, one.runner)
	}
	all.end, err = startRunners(d, runners...)
	return all, err
}

func (d *depot) close() {
	d.deployment.close()
	d.end()
}

// booking returns a consumer's request.
func booking(id, target string) request {
	return request{method: "POST", target: target, id: id, timeLimit: 2500 * time.Millisecond, body: "drums=2"}
}
