package quarantine

import (
	"slices"
	"time"
)

// crash ends an engine, which is back after some seconds.
func (f *modelFleet) crash(e *modelEngine) {
	if !e.up {
		return
	}
	e.up = false
	f.disconnect(e, func(*modelRequest) bool { return true })
	f.after(2*time.Second+f.jitter(3*time.Second), func() {
		e.up = true
		if !f.sameID {
			e.incarnation++
		}
	})
}

// disconnect ends the runs at an engine. Each daemon that had some records an end.
func (f *modelFleet) disconnect(e *modelEngine, match func(*modelRequest) bool) {
	parts := map[*modelDaemon][]Part{}
	lost := f.sorted(e, match)
	for _, q := range lost {
		delete(e.running, q)
		q.engine = nil
		if q.life != q.daemon.life {
			continue
		}
		if q.atRisk {
			parts[q.daemon] = append(parts[q.daemon], q.parts...)
		} else if _, known := parts[q.daemon]; !known {
			parts[q.daemon] = nil
		}
	}
	id := e.id()
	for _, d := range f.daemons {
		list, known := parts[d]
		if !known {
			continue
		}
		delay, register := f.jitter(30*time.Millisecond), d.register
		if f.random.IntN(20) == 0 {
			delay = f.jitter(time.Second) // an end without a reset is noticed by silence
		}
		f.after(delay, func() { register.RecordEnd(id, list) })
		for _, q := range lost {
			if q.daemon == d {
				f.after(delay+5*time.Millisecond, func() { f.attempt(q) })
			}
		}
	}
}

// sorted returns the matching runs at an engine in an order that does not depend on the map.
func (f *modelFleet) sorted(e *modelEngine, match func(*modelRequest) bool) []*modelRequest {
	var list []*modelRequest
	for q := range e.running {
		if match(q) {
			list = append(list, q)
		}
	}
	slices.SortFunc(list, func(a, b *modelRequest) int { return a.number - b.number })
	return list
}

// waves ends most engines of a random place every 6.5 s.
func (f *modelFleet) waves() {
	if f.stopped {
		return
	}
	place, share := f.random.IntN(4), 0.85+0.14*f.random.Float64()
	for _, e := range f.engines {
		if e.place == place && f.random.Float64() < share {
			f.after(f.jitter(50*time.Millisecond), func() { f.crash(e) })
		}
	}
	f.after(6500*time.Millisecond, f.waves)
}

// flap ends one engine again and again.
func (f *modelFleet) flap(e *modelEngine) {
	if f.stopped {
		return
	}
	f.crash(e)
	f.after(time.Second+f.jitter(4*time.Second), func() { f.flap(e) })
}

// resets ends all connections of a random daemon again and again, while the engines go on.
func (f *modelFleet) resets() {
	if f.stopped {
		return
	}
	d := f.daemons[f.random.IntN(len(f.daemons))]
	d.disturbed = time.Now()
	for _, e := range f.engines {
		f.disconnect(e, func(q *modelRequest) bool { return q.daemon == d })
	}
	f.after(time.Second+f.jitter(5*time.Second), f.resets)
}

// kills restarts a random daemon again and again.
func (f *modelFleet) kills() {
	if f.stopped {
		return
	}
	d := f.daemons[f.random.IntN(len(f.daemons))]
	d.disturbed = time.Now()
	f.restart(d)
	f.after(time.Second+f.jitter(8*time.Second), f.kills)
}

// cuts separates a random daemon from its peers again and again.
func (f *modelFleet) cuts() {
	if f.stopped {
		return
	}
	d := f.daemons[f.random.IntN(len(f.daemons))]
	if !d.cut {
		d.cut = true
		f.after(time.Second+f.jitter(8*time.Second), func() { d.cut, d.disturbed = false, time.Now() })
	}
	f.after(time.Second+f.jitter(8*time.Second), f.cuts)
}
