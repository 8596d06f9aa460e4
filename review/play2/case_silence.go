package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Times of the case. Every silenceEvery, one runner falls silent for silenceTime and goes on.
const (
	silenceTime    = 1500 * time.Millisecond
	silenceEvery   = 2 * time.Second
	silenceFrom    = 5 * time.Second
	silenceEnd     = 40 * time.Second
	silenceStreams = 200 * time.Millisecond
	bothWorkTime   = 400 * time.Millisecond
)

// silenceAnswer is an answer that takes 5 s.
var silenceAnswer = answerSize{events: 150, gap: 33 * time.Millisecond}

// silenceCase looks for requests that two runners work on.
type silenceCase struct {
	fleet  *fleet
	record *record
	group  sync.WaitGroup

	mu sync.Mutex
	// working holds the runners that work on each request.
	working map[string]map[string]bool
	moved   int
	both    int
	asked   int
	whole   int
}

// runSilence returns whether a request went on at another runner while the one before still worked on it.
func runSilence(ctx context.Context, dir string, rec *record, trouble bool) (broken bool, err error) {
	c := &silenceCase{record: rec, working: map[string]map[string]bool{}}
	c.fleet, err = startFleet(ctx, dir, rec, func(r *runner) { r.answer, r.goesOn, r.onWork = silenceAnswer, true, c.recordWork })
	if err != nil {
		return false, err
	}
	defer c.fleet.close()
	if !awaitReady(ctx, c.fleet.daemons) {
		return false, notReadyError{}
	}
	began := time.Now()
	c.group.Go(func() { c.runStreams(ctx, began.Add(silenceEnd)) })
	sleepUntil(ctx, began.Add(silenceFrom))
	for i := 0; trouble && time.Since(began) < silenceEnd && ctx.Err() == nil; i++ {
		r := c.fleet.runners[i%len(c.fleet.runners)]
		r.fallSilent(silenceTime)
		rec.log("runner %s falls silent for %v", r.id, silenceTime)
		_ = sleep(ctx, silenceEvery)
	}
	sleepUntil(ctx, began.Add(silenceEnd))
	c.group.Wait()
	rec.log("%d of %d requests got the whole answer; %d went on at another runner", c.whole, c.asked, c.moved)
	rec.log("on %d requests another runner still worked %v after they went on", c.both, bothWorkTime)
	return c.both > 0, nil
}

// runStreams sends streams to all daemons.
func (c *silenceCase) runStreams(ctx context.Context, end time.Time) {
	for i := 0; time.Now().Before(end) && ctx.Err() == nil; i++ {
		d := c.fleet.daemons[i%len(c.fleet.daemons)]
		c.group.Go(func() {
			parts := fmt.Sprintf("%s,%08x:2000", sharedPart, rand.Uint32())
			result := sendStream(ctx, d.front, newRequestID(), parts)
			c.mu.Lock()
			defer c.mu.Unlock()
			if c.asked++; result.err == nil && result.events == silenceAnswer.events {
				c.whole++
			}
		})
		_ = sleep(ctx, silenceStreams)
	}
}

// recordWork is called when a runner begins to answer a request.
func (c *silenceCase) recordWork(id, runner string) (done func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.working[id] == nil {
		c.working[id] = map[string]bool{}
	}
	for before, works := range c.working[id] {
		if c.moved++; works {
			c.record.log("request %s goes on at %s while %s works on it", id, runner, before)
			c.group.Go(func() { c.checkBefore(id, before, runner) })
		}
	}
	c.working[id][runner] = true
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.working[id][runner] = false
	}
}

// checkBefore records whether the runner before still works on a request bothWorkTime later.
func (c *silenceCase) checkBefore(id, before, runner string) {
	time.Sleep(bothWorkTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.working[id][before] && c.working[id][runner] {
		c.both++
		c.record.log("request %s: %s still works on it beside %s", id, before, runner)
	}
}
