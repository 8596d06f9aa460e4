package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

const (
	// refusedFor is the time for which one of seven runners fails two of five requests; refusedPause is that between two
	// bookings, 23.8 of which come a second on the sheet of the site.
	refusedFor   = 6 * time.Second
	refusedPause = 42 * time.Millisecond
)

// bookings counts what came of the bookings.
type bookings struct {
	mu                     sync.Mutex
	count, refused, double int
}

// playRefused sends bookings while one runner fails some of them, after it has run them, with a status of its own that
// does not say that it has not.
func playRefused(p *play) (verdict, error) {
	d, err := newDepot(p, "/orders/", "canas", "canas", "bagaces", "bagaces", "liberia", "liberia", "filadelfia")
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	one, err := d.startDaemon()
	if err != nil {
		return verdict{}, err
	}
	p.sleep(time.Second)
	d.runners[0].mu.Lock()
	d.runners[0].failing = p.trouble
	d.runners[0].mu.Unlock()
	var group sync.WaitGroup
	var result bookings
	for until := time.Now().Add(refusedFor); time.Now().Before(until) && p.ctx.Err() == nil; p.sleep(refusedPause) {
		result.count++
		n := result.count
		group.Go(func() { p.book(d, one, n, &result) })
	}
	group.Wait()
	return verdict{broken: result.refused > 0, text: fmt.Sprintf(
		"%d requests were answered 503 or 429 although they had run; %d of %d bookings ran twice", result.refused, result.double, result.count,
	)}, nil
}

// book sends a booking and, after a status that promises that it has not run, sends it once more, as consumers do.
func (p *play) book(d *depot, one *daemon, n int, result *bookings) {
	target, total := fmt.Sprintf("/orders/gate/%d", n), 0
	for attempt := range 2 {
		id := fmt.Sprintf("9a%04x%02x", n, attempt)
		a := p.ask(one.listen, booking(id, target))
		runs := d.runs(id)
		p.record.add("consumer's request %s, POST %s: %s, signature %q; it has run %d times", id, target, a, a.header.Get(signatureHeader), runs)
		total += runs
		if a.status != http.StatusServiceUnavailable && a.status != http.StatusTooManyRequests {
			break
		}
		if runs > 0 {
			result.mu.Lock()
			result.refused++
			result.mu.Unlock()
		}
	}
	if total > 1 {
		result.mu.Lock()
		result.double++
		result.mu.Unlock()
	}
}

// runs returns how often a request has run.
func (d *depot) runs(id string) int {
	runs := 0
	for _, r := range d.runners {
		runs += len(r.ranAs(id))
	}
	return runs
}
