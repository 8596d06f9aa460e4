package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstHold is the time after a group's last end until its first trial.
	firstHold = 15 * time.Second
	// contestedHold is the first hold of a group with alternatives. It may be a common part that shares its engines with one
	// that crashes them, and one early trial without the alternatives tells.
	contestedHold = time.Second
	// holdFactor multiplies the hold for each trial that ended an engine. No more than three requests may reach engines
	// late: with 4, there are two trials in the first five minutes and a third one after them.
	holdFactor = 4
	// maxHold is the longest hold.
	maxHold = 5 * time.Minute
	// trialTimeout is the time after which a trial without a result no longer prevents the next one.
	trialTimeout = 15 * time.Second
)

// setHold derives the hold from the ends: one that follows another after a whole hold came from a trial. The first ends
// did not, because the group was not quarantined before them.
func (g *group) setHold() {
	g.hold = firstHold
	if len(g.alternatives) > 0 {
		g.hold = contestedHold
	}
	for i, e := range g.ends {
		if i > maxMomentWeight && e.at.Sub(g.lastEnd) >= g.hold && !g.hasAlternative(e.parts) {
			g.hold = min(holdFactor*max(g.hold, firstHold), maxHold)
		}
		g.lastEnd = e.at
	}
}

// mayTry reports whether a request with these parts may be the group's trial. If a request with an alternative ends the engine,
// nothing is known, so it is tried only if no other request came for long.
func (g *group) mayTry(parts []Part, now time.Time) bool {
	return !g.hasAlternative(parts) || now.Sub(g.lastEnd) >= firstHold
}

// hasAlternative reports whether one of the parts is an alternative.
func (g *group) hasAlternative(parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool { return slices.Contains(g.alternatives, p) })
}

// sharesPart reports whether two groups have a part in common. A group whose parts changed keeps its trial.
func (g *group) sharesPart(other *group) bool {
	return slices.ContainsFunc(g.parts, func(p Part) bool { return slices.Contains(other.parts, p) })
}

// wait returns the time until the group's next trial.
func (g *group) wait(now time.Time) time.Duration {
	return max(g.lastEnd.Add(g.hold).Sub(now), g.trialEnd.Sub(now))
}

// settleTime is the time in which the evidence on a moment arrives from all daemons. Before that, a part that was merely
// on the same engines may look like the cause.
const settleTime = 300 * time.Millisecond

// unsettled returns the time until the group has been quarantined for settleTime.
func (g *group) unsettled(now time.Time) time.Duration { return g.since.Add(settleTime).Sub(now) }

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
