package main

import (
	"context"
	"time"
)

// Times of the case from its start. A runner ends two events, 60 ms, after it began to write an answer on the deadly part.
const (
	eventsBeforeEnd   = 2
	firstEventsEnd    = 45 * time.Second
	firstEventsPeriod = 3 * time.Second
)

// runFirstEvents returns whether the rule was broken by requests with a part that crashes runners as they begin to write.
func runFirstEvents(ctx context.Context, dir string, rec *record, trouble bool) (broken bool, err error) {
	c := &quarantineCase{record: rec, target: map[string]*daemonProcess{}}
	c.fleet, err = startFleet(ctx, dir, rec, func(r *runner) {
		r.onArrival, r.onCrash, r.crashEvents = c.recordArrival, c.recordCrash, eventsBeforeEnd
		if trouble {
			r.crashPart = deadlyPart
		}
	})
	if err != nil {
		return false, err
	}
	defer c.fleet.close()
	if !awaitReady(ctx, c.fleet.daemons) {
		return false, notReadyError{}
	}
	began := time.Now()
	c.group.Go(func() { c.runSound(ctx, began.Add(firstEventsEnd)) })
	sleepUntil(ctx, began.Add(firstDeadlyAt))
	for i := 0; time.Since(began) < firstEventsEnd && ctx.Err() == nil; i++ {
		c.sendDeadly(ctx, i)
		_ = sleep(ctx, firstEventsPeriod)
	}
	return c.report(), nil
}
