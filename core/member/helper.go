package member

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// helperNewsAge is the age of a peer's last view up to which it may be asked to serve a request. Peers exchange views
	// several times in it.
	helperNewsAge = 3 * time.Second
	// helperContactAge is the time since a peer's last contact with an endpoint up to which it is asked before others.
	helperContactAge = 1500 * time.Millisecond
)

// Helpers returns the addresses of the peers that may serve a request for this daemon while it reaches no endpoint, those
// that have reached one lately first, and otherwise in random order. Peers that stop, that reach none either or that have
// an older configuration than the given revision are left out.
func (t *Table) Helpers(revision uint64) []string {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var recent, others []string
	for address, p := range t.peers {
		if !p.serves || p.stranded || p.draining || p.revision < revision || now.Sub(p.heardAt) > helperNewsAge {
			continue
		}
		if now.Sub(p.contactAt) <= helperContactAge {
			recent = append(recent, address)
		} else {
			others = append(others, address)
		}
	}
	for _, list := range [][]string{recent, others} {
		// The order of a map is not random enough to spread requests.
		slices.Sort(list)
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(recent, others...)
}

// SetStranded records that a peer has said that it reaches no endpoint. Its next view replaces that.
func (t *Table) SetStranded(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[address]; p != nil {
		p.stranded = true
	}
}
