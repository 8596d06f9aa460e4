package quarantine

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// endsPerGroup is the number of a quarantined group's ends that are sent first. It is enough for the verdict of a peer,
// and leaves room for ends of other parts.
const endsPerGroup = 8

const (
	// endSendAge is the age up to which ends are sent that are not of a quarantined group. All peers in touch know them by
	// then, and sending them for longer would fill all messages.
	endSendAge = 30 * time.Second
	// clearanceSendAge is the time for which a clearance is sent after it became known, or after a peer sent an end that
	// it clears. It is five times the 2 s that an exchange takes to reach 440 daemons.
	clearanceSendAge = 10 * time.Second
)

// Ranks of ends, in the order in which they are sent.
const (
	suspected = iota // enough ends of each quarantined group
	repeated         // ends that share a part with another
	latest           // other ends, the latest first
	remaining        // the other ends of quarantined groups
	unsent
)

// Evidence returns up to maxEnds ends and maxClearances clearances to send to a peer: ends of suspects first, then the
// latest ones, and random ones among equals, because a fixed choice would never send the rest. Ends without parts are not
// sent.
func (r *Register) Evidence(maxEnds, maxClearances int) Evidence {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return Evidence{Ends: r.endsToSend(maxEnds, now), Clearances: r.clearancesToSend(maxClearances, now)}
}

func (r *Register) endsToSend(n int, now time.Time) []End {
	r.rankEnds(now)
	var list []End
	for rank := range unsent {
		var equals []*end
		for _, e := range slices.Backward(r.ends.list) {
			if e.rank == rank {
				equals = append(equals, e)
			}
		}
		if rank != latest {
			r.shuffleEnds(equals)
		}
		for _, e := range equals[:min(len(equals), n-len(list))] {
			list = append(list, End{Endpoint: e.endpoint, Parts: slices.Clone(e.parts), Age: now.Sub(e.at)})
		}
	}
	return list
}

// rankEnds sets the rank of each end.
func (r *Register) rankEnds(now time.Time) {
	for _, e := range r.ends.list {
		age := now.Sub(e.at)
		switch {
		case len(e.parts) == 0 || age > endSendAge:
			e.rank = unsent
		case r.ends.repeated(e):
			e.rank = repeated
		default:
			e.rank = latest
		}
	}
	for _, g := range r.groups {
		list := slices.Clone(g.ends)
		for _, e := range list {
			e.rank = remaining
		}
		last := len(list) - 1
		list[last].rank = suspected
		r.shuffleEnds(list[:last])
		for _, e := range list[:min(last, endsPerGroup)] {
			e.rank = suspected
		}
	}
}

func (r *Register) shuffleEnds(list []*end) {
	r.shuffled(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

// clearancesToSend returns up to n random clearances that peers may not know.
func (r *Register) clearancesToSend(n int, now time.Time) []Clearance {
	var list []Clearance
	for p, known := range r.clearances.cleared {
		if age := now.Sub(known.at); age <= evidenceExpiry && now.Sub(known.wanted) <= clearanceSendAge {
			list = append(list, Clearance{Part: p, Age: age})
		}
	}
	slices.SortFunc(list, func(a, b Clearance) int { return cmp.Compare(a.Part, b.Part) })
	r.shuffled(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

func (r *Register) shuffled(n int, swap func(i, j int)) {
	shuffle := r.shuffle
	if shuffle == nil {
		shuffle = rand.Shuffle
	}
	shuffle(n, swap)
}
