package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Parts of the prompts, and times of the case from its start.
const (
	sharedPart = "5c1e07a2:200"
	deadlyPart = "91bd3f06:300"

	fleetDowntime  = time.Second
	firstDeadlyAt  = 4 * time.Second
	deadlyInterval = 5 * time.Second
	deadlyEach     = 2
	fleetKilledAt  = 24600 * time.Millisecond
	quarantineEnds = 90 * time.Second
	deadlyAtOnce   = 6
	crashesOfRule  = 5
	requestsOfRule = 3
	soundPerSecond = 3
)

// quarantineCase sends requests with a part that crashes runners, and counts those that reach runners late.
type quarantineCase struct {
	fleet  *fleet
	record *record
	group  sync.WaitGroup

	mu sync.Mutex
	// target holds the daemon to which each request was sent.
	target  map[string]*daemonProcess
	crashes []time.Time
	late    int
	sound   int
	whole   int
}

// runQuarantine returns whether the rule was broken.
func runQuarantine(ctx context.Context, dir string, rec *record, trouble bool) (broken bool, err error) {
	c := &quarantineCase{record: rec, target: map[string]*daemonProcess{}}
	c.fleet, err = startFleet(ctx, dir, rec, func(r *runner) {
		r.crashPart, r.onArrival, r.onCrash = deadlyPart, c.recordArrival, c.recordCrash
	})
	if err != nil {
		return false, err
	}
	defer c.fleet.close()
	if !awaitReady(ctx, c.fleet.daemons) {
		return false, notReadyError{}
	}
	began := time.Now()
	at := func(d time.Duration) { sleepUntil(ctx, began.Add(d)) }
	c.group.Go(func() { c.runSound(ctx, began.Add(quarantineEnds)) })
	at(firstDeadlyAt)
	for i := range deadlyAtOnce {
		c.sendDeadly(ctx, i)
	}
	c.group.Go(func() { c.runDeadly(ctx, began) })
	if at(fleetKilledAt); trouble {
		c.restartFleet(ctx)
	}
	at(quarantineEnds)
	return c.report(), nil
}

// report records the counts and returns whether the rule was broken.
func (c *quarantineCase) report() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record.log("%d crashes in all; %d of %d sound requests got the whole answer", len(c.crashes), c.whole, c.sound)
	c.record.log("%d requests with the deadly part reached runners later than %v after the fifth crash, sent by daemons in touch; %d are allowed",
		c.late, contactTime, requestsOfRule)
	return c.late > requestsOfRule
}

// restartFleet kills all daemons at the same moment and starts them again.
func (c *quarantineCase) restartFleet(ctx context.Context) {
	var group sync.WaitGroup
	for _, d := range c.fleet.daemons {
		group.Go(func() { d.Kill(syscall.SIGKILL) })
	}
	group.Wait()
	c.record.log("all daemons are killed")
	sleepUntil(ctx, time.Now().Add(fleetDowntime))
	for _, d := range c.fleet.daemons {
		if err := d.Start(ctx); err != nil {
			c.record.log("daemon %s does not start: %v", d.name, err)
		}
	}
	c.record.log("all daemons are started again")
}

// runSound sends sound requests, which share a part with the others, to all daemons.
func (c *quarantineCase) runSound(ctx context.Context, end time.Time) {
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		d := c.fleet.daemons[i%len(c.fleet.daemons)]
		c.group.Go(func() {
			parts := fmt.Sprintf("%s,%08x:2000", sharedPart, rand.Uint32())
			result := sendStream(ctx, d.front, newRequestID(), parts)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.sound++; result.whole {
				c.whole++
			}
		})
		_ = sleep(ctx, time.Second/soundPerSecond)
	}
}

// runDeadly sends two requests with the deadly part every deadlyInterval, to one pair of daemons after the other.
func (c *quarantineCase) runDeadly(ctx context.Context, began time.Time) {
	for i := 1; ; i++ {
		at := began.Add(firstDeadlyAt + time.Duration(i)*deadlyInterval)
		if at.Sub(began) >= quarantineEnds || ctx.Err() != nil {
			return
		}
		sleepUntil(ctx, at)
		for n := range deadlyEach {
			c.sendDeadly(ctx, i+n*2)
		}
	}
}

// sendDeadly sends one request with the deadly part, whose last part is its own.
func (c *quarantineCase) sendDeadly(ctx context.Context, i int) {
	d, id := c.fleet.daemons[i%len(c.fleet.daemons)], newRequestID()
	c.mu.Lock()
	c.target[id] = d
	c.mu.Unlock()
	c.record.log("deadly request %s is sent to %s", id, d.name)
	c.group.Go(func() {
		parts := fmt.Sprintf("%s,%s,%08x:7500", sharedPart, deadlyPart, rand.Uint32())
		result := sendStream(ctx, d.front, id, parts)
		c.record.log("deadly request %s is answered %d (%v)", id, result.status, result.err)
	})
}

// recordArrival is called by the runners for each request.
func (c *quarantineCase) recordArrival(a arrival) {
	if !a.crashed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.target[a.id]
	counts := len(c.crashes) >= crashesOfRule && a.at.Sub(c.crashes[crashesOfRule-1]) > contactTime && d.InTouch(a.at)
	if counts {
		c.late++
	}
	c.record.log("deadly request %s reaches runner %s from %s (in touch: %t, counts: %t)", a.id, a.runner, d.name, d.InTouch(a.at), counts)
}

func (c *quarantineCase) recordCrash() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}
