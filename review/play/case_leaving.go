package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leaving"] = playLeaving }

// playLeaving lets a runner leave, which says so in its answers, while the store is down.
func playLeaving(p *play) (verdict, error) {
	d, err := newDepot(p, "/orders/", "canas", "canas")
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	one, err := d.startDaemon()
	if err != nil {
		return verdict{}, err
	}
	p.sleep(time.Second)
	leaver := d.runners[0]
	if p.trouble {
		d.store.FailCalls(http.StatusServiceUnavailable)
		p.record.add("the store answers 503")
	}
	p.sleep(500 * time.Millisecond)
	leaver.mu.Lock()
	leaver.leaving = true
	leaver.mu.Unlock()
	if !p.trouble {
		leaver.register(d.deployment, "draining")
	}
	late := p.sendWhileLeaving(one, leaver)
	d.store.FailCalls(0)
	leaver.register(d.deployment, "draining")
	p.sleep(drainMS * time.Millisecond)
	return verdict{broken: late > 0, text: fmt.Sprintf("%d requests that were sent later than drain_ms reached the runner that leaves", late)}, nil
}

// sendWhileLeaving sends bookings for six seconds and returns how many reached the runner although they were sent later
// than drain_ms after the daemon had passed on an answer with Server-Leaving.
func (p *play) sendWhileLeaving(one *daemon, leaver *plain) (late int) {
	var mu sync.Mutex
	var told time.Time
	var group sync.WaitGroup
	for n := range 150 {
		group.Go(func() {
			id, sent := fmt.Sprintf("1c%06x", n), time.Now()
			a := p.ask(one.listen, booking(id, "/orders/1"))
			mu.Lock()
			defer mu.Unlock()
			if a.header.Get("Server-Leaving") != "" && told.IsZero() {
				told = time.Now()
				p.record.add("%s passes on an answer with Server-Leaving", one.name)
			}
			p.record.add("consumer's request %s: %s", id, a)
			if len(leaver.ranAs(id)) > 0 && !told.IsZero() && sent.After(told.Add(drainMS*time.Millisecond)) {
				p.record.add("request %s reached runner %s, sent %d ms after that", id, leaver.id, sent.Sub(told).Milliseconds())
				late++
			}
		})
		p.sleep(40 * time.Millisecond)
	}
	group.Wait()
	return late
}
