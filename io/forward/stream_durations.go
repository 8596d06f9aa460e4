package forward

import (
	"sync"
	"time"
)

const (
	// durationDecay is the divisor by which the longest duration approaches each shorter one that follows it, so that a
	// single long stream counts for some hundred others.
	durationDecay = 256
	// fewStreams is the number of streams at which the estimate is twice their maximum; it approaches the maximum with more
	// of them. A daemon that is stopped soon after its start has seen few, and the next one may well be longer.
	fewStreams = 4
	// observationFactor is the multiple of the longest stream for which streams must have been observed. The first streams
	// to be complete are the short ones.
	observationFactor = 2
	// maxDurationServices bounds the services with an estimate. The services come from the configuration, and those that it
	// no longer names are not removed.
	maxDurationServices = 1024
)

// completeStream describes a stream that is complete.
type completeStream struct {
	duration, firstEventWait time.Duration
	// maxTokens is the limit of the output that the caller has set, or 0.
	maxTokens int
}

// longestStream holds decaying maxima of the complete streams of a service.
type longestStream struct {
	// beganAt is the time at which the first stream began, or zero if it is not known.
	beganAt                            time.Time
	streams                            int
	duration, firstEventWait, perToken time.Duration
}

// streamDurations estimates by service how long streams take at most. Callers learn late that a stream is cut, and soon
// that it is refused, so the estimates are decaying maxima and no means. It is safe for concurrent use.
type streamDurations struct {
	mu        sync.Mutex
	byService map[string]longestStream
}

// begin notes that a stream begins, from which time on streams are observed.
func (d *streamDurations) begin(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if longest := d.find(service); longest.beganAt.IsZero() {
		longest.beganAt = time.Now()
		d.byService[service] = longest
	}
}

// observed reports whether streams of a service have been observed for long enough to know that nearly all take at most a
// duration.
func (d *streamDurations) observed(service string, duration time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	beganAt := d.byService[service].beganAt
	return beganAt.IsZero() || time.Since(beganAt) >= observationFactor*duration
}

// find returns the maxima of a service, and makes room for it. The caller must hold mu.
func (d *streamDurations) find(service string) longestStream {
	longest, known := d.byService[service]
	if !known && len(d.byService) >= maxDurationServices {
		clear(d.byService)
	}
	if d.byService == nil {
		d.byService = map[string]longestStream{}
	}
	return longest
}

// record adds a complete stream.
func (d *streamDurations) record(service string, stream completeStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.find(service)
	longest.streams++
	longest.duration = decayingMax(longest.duration, stream.duration)
	longest.firstEventWait = decayingMax(longest.firstEventWait, stream.firstEventWait)
	if stream.maxTokens > 0 {
		perToken := (stream.duration - stream.firstEventWait) / time.Duration(stream.maxTokens)
		longest.perToken = decayingMax(longest.perToken, perToken)
	}
	d.byService[service] = longest
}

func decayingMax(longest, latest time.Duration) time.Duration {
	return max(latest, longest-(longest-latest)/durationDecay)
}

// firstEventWait returns the longest wait for a first event of the service's streams, or 0 if none has been complete.
func (d *streamDurations) firstEventWait(service string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.byService[service].firstEventWait
}

// longest returns the time within which nearly all streams of a service with the given output limit are complete, and
// false if none has been. A stream may be longer than all before it: its engine may be as slow to begin as the slowest,
// and then generate all tokens that the limit allows.
func (d *streamDurations) longest(service string, maxTokens int) (duration time.Duration, known bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.byService[service]
	if longest.streams == 0 {
		return 0, false
	}
	duration = max(longest.duration, longest.firstEventWait+longest.perToken*time.Duration(maxTokens))
	return duration + duration*fewStreams/time.Duration(longest.streams), true
}

// recordDuration records a stream that is complete. It also records one that was still being sent at its own time limit,
// without which the estimate would be too short.
func (h *streamHandler) recordDuration(err error) {
	q := h.request
	if err != nil && !h.outlastedLimit() {
		return
	}
	if q.lastEventID > 0 {
		// The rest of a stream that its caller resumes says little about a whole one.
		return
	}
	h.server.durations.record(q.service.Name, completeStream{
		duration: time.Since(q.arrivedAt), firstEventWait: h.firstEventWait, maxTokens: q.maxOutputTokens,
	})
}

// outlastedLimit reports whether the stream has reached its own time limit while its events arrived. One that waited for a
// silent engine says nothing about the duration of others.
func (h *streamHandler) outlastedLimit() bool {
	q := h.request
	return !q.endsWithDaemon && time.Until(q.deadline) <= 0 && h.deliveredEvents > 0 && time.Since(h.deliveredAt) < silenceTimeouts.Ceiling
}
