package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["rest"] = playRest }

const (
	// restTime is the time that the runner says in Retry-After, and restSlack the rule's.
	restTime  = 5 * time.Second
	restSlack = 500 * time.Millisecond
)

// rest is the state of a runner that turns requests away and says for how long.
type rest struct {
	mu   sync.Mutex
	told time.Time
	late int
}

// turnAway answers a request in the runner's place while it rests.
func (s *rest) turnAway(c *channel, request *http.Request) (answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.told.IsZero() {
		s.told = time.Now()
	}
	since := time.Since(s.told)
	if since > restTime {
		return false
	}
	id := request.Header.Get(idHeader)
	if since > restSlack {
		s.late++
		c.runner.play.record.add("request %s reaches runner %s %d ms after its Retry-After", id, c.runner.id, since.Milliseconds())
	}
	return c.answer(http.StatusServiceUnavailable, id, "", notRunHeader+": 1", fmt.Sprintf("Retry-After: %d", int(restTime.Seconds())))
}

// playRest lets one of two runners turn requests away for five seconds, which it says in Retry-After.
func playRest(p *play) (verdict, error) {
	d, err := newDepot(p, "/orders/", "canas", "canas")
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	var state rest
	resting := d.runners[0]
	resting.serve = func(c *channel, request *http.Request, body []byte) bool {
		return p.trouble && state.turnAway(c, request) || resting.handle(c, request, body)
	}
	one, err := d.startDaemon()
	if err != nil {
		return verdict{}, err
	}
	p.sleep(time.Second)
	var group sync.WaitGroup
	for n := range 150 {
		group.Go(func() {
			p.record.add("consumer's request %d: %s", n, p.ask(one.listen, booking(fmt.Sprintf("3d%06x", n), "/orders/1")))
		})
		p.sleep(40 * time.Millisecond)
	}
	group.Wait()
	return verdict{broken: state.late > 2, text: fmt.Sprintf("%d requests reached the runner between 0.5 s and 5 s after its Retry-After", state.late)}, nil
}
