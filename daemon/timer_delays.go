package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"radishhollow/core/clock"
)

// timerDelays measures how late the process runs: the longest time by which a timer fired late. A process that the machine
// runs late handles the signal to stop late, and may be killed before the end of its planned stop.
type timerDelays struct {
	longest atomic.Int64
	cancel  context.CancelFunc
	done    chan struct{}
}

// Start measures in the background until Close is called.
func (d *timerDelays) Start() {
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(context.Background())
	d.done = make(chan struct{})
	go d.run(ctx)
}

// Close ends the measurement.
func (d *timerDelays) Close() {
	d.cancel()
	<-d.done
}

// Longest returns the longest delay so far.
func (d *timerDelays) Longest() time.Duration { return time.Duration(d.longest.Load()) }

func (d *timerDelays) run(ctx context.Context) {
	defer close(d.done)
	for due := time.Now().Add(drainPollInterval); clock.Sleep(ctx, drainPollInterval) == nil; due = time.Now().Add(drainPollInterval) {
		if delay := int64(time.Since(due)); delay > d.longest.Load() {
			d.longest.Store(delay)
		}
	}
}
