package quarantine

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstHold is the time after a group's last end until its first trial.
	firstHold = 15 * time.Second
	// holdFactor multiplies the hold for each trial that ended an engine.
	holdFactor = 2
	// maxHold is the longest hold.
	maxHold = 5 * time.Minute
	// trialTimeout is the time after which a trial without a result no longer prevents the next one.
	trialTimeout = 15 * time.Second
)

// setHold derives the hold from the ends: one that follows another after a whole hold came from a trial.
func (g *group) setHold() {
	g.hold = firstHold
	for i, e := range g.ends {
		if i > 0 && e.at.Sub(g.lastEnd) >= g.hold {
			g.hold = min(holdFactor*g.hold, maxHold)
		}
		g.lastEnd = e.at
	}
}

// wait returns the time until the group's next trial.
func (g *group) wait(now time.Time) time.Duration {
	return max(g.lastEnd.Add(g.hold).Sub(now), g.trialEnd.Sub(now))
}

// owner returns the daemon that may try a group: all daemons with the same view of the fleet choose the same one
// (rendezvous hashing).
func owner(parts []Part, self string, peers []string) string {
	var salt []byte
	for _, p := range parts {
		salt = binary.BigEndian.AppendUint64(salt, uint64(p))
	}
	hash := func(address string) uint64 { return xxhash.Sum64(append([]byte(address), salt...)) }
	best, low := self, hash(self)
	for _, address := range peers {
		if h := hash(address); h < low || h == low && address < best {
			best, low = address, h
		}
	}
	return best
}
