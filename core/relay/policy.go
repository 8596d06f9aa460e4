package relay

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleet is the number of daemons up to which each of them reads the key-value service itself. Their calls cost
	// little, and no change waits for another daemon.
	smallFleet = 8
	// minReaders is the number of readers of a prefix in a larger fleet. With two, the followers of a lost reader need no
	// more than one call each to the key-value service.
	minReaders = 2
	// daemonsPerReader limits the calls that one reader serves. About 40 followers with two calls a second cost it one or
	// two percent of a core.
	daemonsPerReader = 40
	// maxBatchDelay limits the delay of a change by batching in a deployment with a long bound.
	maxBatchDelay = 500 * time.Millisecond
)

// Timing holds the delays of the way from the key-value service to a follower. Their sum stays below the bound within
// which a change must be known, also if the reader is lost without a sign.
type Timing struct {
	// pollWait is the longest time that one watch waits for changes, at the key-value service and at a reader. It is also
	// the interval of signs of life.
	pollWait time.Duration
	// batchDelay is a reader's pause after changes.
	batchDelay time.Duration
	// slack is the time for the calls themselves.
	slack time.Duration
}

// NewTiming returns the delays for a bound: a reader that is lost without a sign, right before it would have passed on
// a change, is noticed after pollWait and slack; one that is cut off from the key-value service, after maxAge.
func NewTiming(bound time.Duration) Timing {
	return Timing{pollWait: bound / 4, batchDelay: min(maxBatchDelay, bound/4), slack: bound / 8}
}

// maxAge is the highest age of a copy that is confirmed in time. An older one shows that its reader has lost contact.
func (t Timing) maxAge() time.Duration { return t.pollWait + t.batchDelay + t.slack }

// stall is the time after which an answer that has begun is given up if nothing more arrives.
func (t Timing) stall() time.Duration { return t.pollWait }

// probeWait is the wait of a call to the key-value service that only has to show its current state.
func (t Timing) probeWait() time.Duration { return t.slack / 8 }

// wideLinkMbps is the rate of a link that carries a large value to all followers of a reader in a small part of the bound.
// Wider links are of no further use, so that the readers of the prefixes are spread over all of them.
const wideLinkMbps = 100

// linkClass returns the binary order of magnitude of a link's rate.
func linkClass(mbps float64) int {
	_, class := math.Frexp(max(0, min(mbps, wideLinkMbps)))
	return class
}

// readers returns the addresses of a prefix's readers among the daemons, those with the widest links. All daemons with the
// same view of the fleet get the same result, and a daemon that joins or leaves changes it for few of them (rendezvous
// hashing).
func readers(prefix string, daemons []string, linkMbps func(address string) float64) []string {
	ranked := slices.Clone(daemons)
	if len(ranked) <= smallFleet {
		return ranked
	}
	sortByHash(prefix, ranked)
	if linkMbps != nil {
		slices.SortStableFunc(ranked, func(a, b string) int {
			return cmp.Compare(linkClass(linkMbps(b)), linkClass(linkMbps(a)))
		})
	}
	count := max(minReaders, (len(ranked)+daemonsPerReader-1)/daemonsPerReader)
	return ranked[:min(count, len(ranked))]
}

// sortByHash sorts addresses by their hash with a salt.
func sortByHash(salt string, addresses []string) {
	hash := func(address string) uint64 {
		return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(address), xxhash.Sum64String(salt)))
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
}
