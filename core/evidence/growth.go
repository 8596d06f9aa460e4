package evidence

import (
	"math"
	"time"
)

const (
	// bucketSpan is the resolution of what a receiver keeps of the past, about the interval of the exchange.
	bucketSpan = 500 * time.Millisecond
	// bucketCount times bucketSpan is the longest time that Judge looks back.
	bucketCount = 32
)

// figures counts the results of requests.
type figures struct{ requests, failures, slow int }

func (f figures) bad() int { return f.failures + f.slow }

func (f *figures) add(other figures) {
	f.requests += other.requests
	f.failures += other.failures
	f.slow += other.slow
}

// without returns the figures less those of a part. A part that was reported later than the whole may exceed it.
func (f figures) without(part figures) figures {
	return figures{
		requests: max(f.requests-part.requests, 0), failures: max(f.failures-part.failures, 0), slow: max(f.slow-part.slow, 0),
	}
}

// growth is the growth of one tally of one daemon in the last seconds.
type growth struct {
	seen [3]uint64
	// seenAt is the time of the last report with the tally, and badAt that of the last one with new bad results.
	seenAt, badAt time.Time
	buckets       [bucketCount]bucket
}

// bucket holds the growth within bucketSpan. It is small, since there are some for each daemon and endpoint.
type bucket struct {
	index                    uint32
	requests, failures, slow uint16
}

func (b *bucket) add(f figures) {
	b.requests = uint16(min(int(b.requests)+f.requests, math.MaxUint16))
	b.failures = uint16(min(int(b.failures)+f.failures, math.MaxUint16))
	b.slow = uint16(min(int(b.slow)+f.slow, math.MaxUint16))
}

func counts(t Tally) [3]uint64 { return [3]uint64{t.Requests, t.Failures, t.Slow} }

// set takes the counts of a tally as known, so that they are no growth.
func (g *growth) set(t Tally) { g.seen = counts(t) }

// add adds the growth of a tally since the last report to a bucket and returns it. Lower counts than before are those of a
// tally that has begun anew.
func (g *growth) add(t Tally, index uint32) figures {
	now := counts(t)
	before := g.seen
	if now[0] < before[0] || now[1] < before[1] || now[2] < before[2] {
		before = [3]uint64{}
	}
	g.seen = now
	added := figures{int(now[0] - before[0]), int(now[1] - before[1]), int(now[2] - before[2])}
	b := &g.buckets[index%bucketCount]
	if b.index < index {
		*b = bucket{index: index}
	}
	if b.index == index {
		b.add(added)
	}
	return added
}

// sums returns the growth in each of the windows up to the index.
func (g *growth) sums(index uint32) (sums [windowCount]figures) {
	for i := range g.buckets {
		b := &g.buckets[i]
		for w, window := range windows {
			if b.index > index-window && b.index <= index {
				sums[w].add(figures{int(b.requests), int(b.failures), int(b.slow)})
			}
		}
	}
	return sums
}

// forget drops the growth of the past.
func (g *growth) forget() {
	clear(g.buckets[:])
}

// bucketIndex returns the number of the bucket of a time. It is positive for all times within the last minutes.
func (r *Register) bucketIndex(t time.Time) uint32 {
	return uint32((t.Sub(r.startedAt) + time.Hour) / bucketSpan)
}
