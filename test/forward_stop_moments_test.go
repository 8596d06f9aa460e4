package test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// stopMoments are the times before SIGTERM at which the streams of the operators' records were sent.
var stopMoments = []time.Duration{
	1150 * time.Millisecond, 870 * time.Millisecond, 830 * time.Millisecond, 790 * time.Millisecond, 290 * time.Millisecond,
}

// sendLong sends a stream that outlasts the planned stop of a daemon at a set time, and goes on with the rest elsewhere.
func (p *mixedStops) sendLong(daemon, n int, at time.Time) {
	time.Sleep(time.Until(at))
	caller := &mixedCaller{play: p, n: n, random: rand.New(rand.NewPCG(p.seed, uint64(n)))}
	conn := caller.dialTo(daemon)
	if conn == nil {
		return
	}
	conn.pipelines = false
	q := &mixedRequest{id: fmt.Sprintf("%s%d.0", longStreamPrefix, n), path: "/stream/x"}
	for {
		conn.send(q)
		if q.err == nil {
			conn.read(q)
		}
		caller.finish(q)
		_ = conn.Close()
		if caller.rest == nil || p.isStopped() {
			return
		}
		if conn = caller.dial(); conn == nil {
			return
		}
		conn.pipelines = false
		q = caller.request()
	}
}

// stopAtMoments stops all daemons one after the other, each while long streams that were sent at stopMoments and just after
// SIGTERM are in flight. A round is the number of the series.
func (p *mixedStops) stopAtMoments(random *rand.Rand, round int, last bool) {
	interval := mixedDuration(random, 10*time.Millisecond, 2*time.Second)
	var group, callers sync.WaitGroup
	begins := time.Now().Add(2 * time.Second)
	for i, d := range p.daemons {
		stopAt := begins.Add(time.Duration(i) * interval)
		for k := range 20 {
			// Half of the streams come at the moments of the records, the others up to the end of the readiness delay.
			at := stopAt.Add(-stopMoments[k%len(stopMoments)])
			if k >= 2*len(stopMoments) {
				at = stopAt.Add(mixedDuration(random, -3*time.Second, 2900*time.Millisecond))
			}
			callers.Go(func() { p.sendLong(i, 10_000+1000*round+100*i+k, at) })
		}
		group.Go(func() {
			time.Sleep(time.Until(stopAt))
			p.stop(d, nil)
			if !last {
				p.start(i, d)
			}
		})
	}
	group.Wait()
	if last {
		close(p.done)
	}
	callers.Wait()
}

// Guards against a stream whose engine ends its work before the last part of the grace while its caller does not get the
// rest: streams that outlast a planned stop, sent at the moments of the operators' records, beside everything that
// TestForwardStopMixed plays.
func TestForwardStopMoments(t *testing.T) {
	for n := range *soakSeeds {
		seed := *soakFirstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			p := newMixedStops(t, seed)
			ended := make(chan struct{})
			go func() { defer close(ended); p.runFaults() }()
			random := rand.New(rand.NewPCG(seed, 10))
			time.Sleep(mixedDuration(random, 2*time.Second, 4*time.Second))
			for round := range *mixedRounds {
				p.stopAtMoments(random, round, false)
				time.Sleep(mixedDuration(random, 0, 3*time.Second))
			}
			p.stopAtMoments(random, *mixedRounds, true)
			<-ended
			p.check()
		})
	}
}
