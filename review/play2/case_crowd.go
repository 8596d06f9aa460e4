package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the case. The heads of the crowd have about 13 KB, which is below max_header_bytes, and no odd line.
const (
	crowdSize        = 300
	crowdLines       = 1000
	crowdInterval    = 10 * time.Millisecond
	crowdEnd         = 24 * time.Second
	ordinaryFrom     = 5 * time.Second
	ordinaryEnd      = 22 * time.Second
	ordinaryInterval = 200 * time.Millisecond
	servedQuotient   = 2
)

// crowdAnswer is an answer that takes 20 s.
var crowdAnswer = answerSize{events: 200, gap: 100 * time.Millisecond}

// crowdCase counts what ordinary callers see beside a crowd whose requests have many short lines.
type crowdCase struct {
	record *record
	daemon *daemonProcess
	group  sync.WaitGroup

	mu       sync.Mutex
	crowd    map[string]int
	ordinary map[string]int
	asked    int
	served   int
}

// runCrowd returns whether less than half of the ordinary callers of a place got an answer of a runner.
func runCrowd(ctx context.Context, dir string, rec *record, trouble bool) (broken bool, err error) {
	c := &crowdCase{record: rec, crowd: map[string]int{}, ordinary: map[string]int{}}
	fleet, err := startFleet(ctx, dir, rec, func(r *runner) { r.answer = crowdAnswer })
	if err != nil {
		return false, err
	}
	defer fleet.close()
	if !awaitReady(ctx, fleet.daemons) {
		return false, notReadyError{}
	}
	// The place liberia has one daemon.
	c.daemon = fleet.daemons[3]
	lines, began := 0, time.Now()
	if trouble {
		lines = crowdLines
	}
	for range crowdSize {
		c.group.Go(func() { c.runCaller(ctx, lines, began.Add(crowdEnd)) })
		_ = sleep(ctx, crowdInterval)
	}
	sleepUntil(ctx, began.Add(ordinaryFrom))
	for time.Since(began) < ordinaryEnd && ctx.Err() == nil {
		c.group.Go(func() { c.sendOrdinary(ctx) })
		_ = sleep(ctx, ordinaryInterval)
	}
	c.group.Wait()
	rec.log("answers to the crowd: %v", c.crowd)
	rec.log("answers to ordinary callers: %v", c.ordinary)
	rec.log("%d of %d ordinary requests were served", c.served, c.asked)
	return c.served*servedQuotient < c.asked, nil
}

// runCaller sends a request of the crowd, and again a second after each refusal.
func (c *crowdCase) runCaller(ctx context.Context, lines int, end time.Time) {
	for time.Now().Before(end) && ctx.Err() == nil {
		parts := fmt.Sprintf("%s,%08x:400", sharedPart, rand.Uint32())
		result := sendStreamWith(ctx, c.daemon.front, newRequestID(), parts, lines)
		c.count(c.crowd, result)
		if result.status == http.StatusOK {
			return
		}
		_ = sleep(ctx, time.Second)
	}
}

// sendOrdinary sends a request as on the sheet.
func (c *crowdCase) sendOrdinary(ctx context.Context) {
	id := newRequestID()
	result := sendStream(ctx, c.daemon.front, id, fmt.Sprintf("%s,%08x:2000", sharedPart, rand.Uint32()))
	c.count(c.ordinary, result)
	c.record.log("ordinary request %s: status %d, %d events", id, result.status, result.events)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asked++; result.status == http.StatusOK && result.err == nil {
		c.served++
	}
}

func (c *crowdCase) count(answers map[string]int, result streamResult) {
	status := "no answer"
	if result.status != 0 {
		status = fmt.Sprint(result.status)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	answers[status]++
}
