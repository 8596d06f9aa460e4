package main

import (
	"fmt"
	"time"
)

func init() { cases["restart"] = playRestart }

const restartRequests = 100

// playRestart restarts the runners of a service one after the other, each under its id and at its address. Without
// trouble, they crash and come back; with it, they leave before, as in a planned restart.
func playRestart(p *play) (verdict, error) {
	d, err := newDepot(p, "/orders/", "canas", "bagaces")
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	one, err := d.startDaemon()
	if err != nil {
		return verdict{}, err
	}
	p.sleep(time.Second)
	for _, r := range d.runners {
		if err := p.restart(d, r); err != nil {
			return verdict{}, err
		}
	}
	p.sleep(10 * time.Second)
	served := p.countServed(one)
	return verdict{broken: served == 0, text: fmt.Sprintf("%d of %d requests were served", served, restartRequests)}, nil
}

// restart ends a runner and starts it again.
func (p *play) restart(d *depot, r *plain) error {
	if p.trouble {
		r.register(d.deployment, "draining")
	}
	p.sleep(drainMS*time.Millisecond + time.Second)
	r.crash()
	if !p.trouble {
		p.sleep(3 * heartbeat)
	}
	d.store.Remove("servers/" + r.id)
	p.record.add("store removes runner %s", r.id)
	p.sleep(time.Second)
	if err := r.start(); err != nil {
		return err
	}
	r.register(d.deployment, "ready")
	p.sleep(2 * time.Second)
	return nil
}

// countServed sends bookings and returns how many were served.
func (p *play) countServed(one *daemon) int {
	served := 0
	for n := range restartRequests {
		id := fmt.Sprintf("7e%06x", n)
		a := p.ask(one.listen, booking(id, "/orders/1"))
		p.record.add("consumer's request %s: %s", id, a)
		if a.status == 200 {
			served++
		}
		p.sleep(100 * time.Millisecond)
	}
	return served
}
