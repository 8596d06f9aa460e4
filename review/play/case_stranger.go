package main

import (
	"fmt"
	"time"
)

func init() { cases["stranger"] = playStranger }

// playStranger lets another writer write an entry beside that of each runner, with the same address and a service that no
// configuration names.
func playStranger(p *play) (verdict, error) {
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
		if p.trouble {
			d.store.Put("servers/probe-"+r.id, fmt.Sprintf(`{"service":"node-metrics","address":%q,"zone":%q,"version":"v1","slots":4,`+
				`"state":"ready","cold_left_ms":0,"sequence":1}`, r.address, r.place))
		}
	}
	p.sleep(5 * time.Second)
	served := p.countServed(one)
	return verdict{broken: served == 0, text: fmt.Sprintf("%d of %d requests were served", served, restartRequests)}, nil
}
