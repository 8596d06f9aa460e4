package main

import (
	"fmt"
	"time"
)

func init() { cases["path"] = playPath }

const pathRequests = 10

// playPath sends bookings whose path begins with an empty segment.
func playPath(p *play) (verdict, error) {
	d, err := newDepot(p, "/", "canas", "bagaces")
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	one, err := d.startDaemon()
	if err != nil {
		return verdict{}, err
	}
	p.sleep(time.Second)
	changed := 0
	for n := range pathRequests {
		id, target := fmt.Sprintf("9a%06x", n), fmt.Sprintf("/orders/gate/%d", n)
		if p.trouble {
			target = "/" + target
		}
		a := p.ask(one.listen, booking(id, target))
		p.record.add("consumer's request %s, POST %s at host %s: %s", id, target, host, a)
		for _, r := range d.runners {
			for _, w := range r.ranAs(id) {
				if w.target != target {
					changed++
				}
			}
		}
	}
	return verdict{broken: changed > 0, text: fmt.Sprintf("%d of %d requests were run with another path", changed, pathRequests)}, nil
}
