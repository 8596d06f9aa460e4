package forward

import (
	"sync"
	"time"
)

const (
	// suspectProbeInterval and probeInterval are the minimum intervals between two probes of an engine, and between the
	// request and the first probe: the first applies if an engine of its place has gone silent since the last probe, the
	// second otherwise. A probe opens up to connectAttemptsPerProbe connections, and most prefills take 1 to 1.5 s.
	suspectProbeInterval = 300 * time.Millisecond
	probeInterval        = time.Second
)

// probeLimiter limits the rate of probes of one engine. It is shared by the goroutine that serves the request and the
// one in which the Driver checks for a stall while open waits.
type probeLimiter struct {
	mu sync.Mutex
	// intervalStart is the time of the last probe, or of the request if no probe followed it.
	intervalStart time.Time
}

// reset starts the interval anew when a request is sent to the engine.
func (l *probeLimiter) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.intervalStart = time.Now()
}

// due reports whether the engine is to be probed now, and starts the next interval if so.
func (l *probeLimiter) due(silences *silenceTimes, place string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := time.Since(l.intervalStart)
	if elapsed < suspectProbeInterval || (elapsed < probeInterval && !silences.occurredAfter(place, l.intervalStart)) {
		return false
	}
	l.intervalStart = time.Now()
	return true
}

// isReachable reports whether the engine of the current attempt accepts connections.
func (h *streamHandler) isReachable() bool {
	address := h.currentChoice().Address()
	for range connectAttemptsPerProbe {
		if h.server.Reachable(h.ctx, address) {
			return true
		}
	}
	return false
}
