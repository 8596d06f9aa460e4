package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// maxPeers bounds the table; the planned size is 440 daemons.
const maxPeers = 4096

// maxDemand bounds the workspaces of one peer; the planned size is 760.
const maxDemand = 2048

// Table holds peers and marks on endpoints. Fields are set before use; it is safe for concurrent use.
type Table struct {
	// Self is the daemon's own address, which never enters the table.
	Self string
	// PeerExpiry is the age at which a silent peer that the platform does not list is forgotten.
	PeerExpiry time.Duration
	// MarkExpiry is the age at which a mark is forgotten.
	MarkExpiry time.Duration
	// OnMark is called for each mark that is new or has turned from leaving to dead; it may be nil.
	OnMark func(Mark)

	mu    sync.Mutex
	peers map[string]*Peer
	marks map[markKey]markState
}

// MergeRequest merges the view of a peer that called.
func (t *Table) MergeRequest(v View) { t.merge(v, false) }

// MergeResponse merges the view that came back from a call to v.Address. Whatever answers at an address is its present
// incarnation, also where its number is lower than that of the one before.
func (t *Table) MergeResponse(v View) { t.merge(v, true) }

func (t *Table) merge(v View, answer bool) {
	now := time.Now()
	t.mu.Lock()
	if v.Address != t.Self {
		if p := t.admit(v.Address, v.Incarnation, now, now, answer); p != nil {
			p.place = v.Place
			p.draining = p.draining || v.Draining
			if v.Revision >= p.revision {
				p.revision, p.digest = v.Revision, v.Digest
			}
			p.observeDemand(v.Demand, now)
		}
	}
	for _, e := range v.Members {
		t.mergeEntry(e, now)
	}
	var fresh []Mark
	for _, m := range v.Marks {
		if t.mergeMark(m, now) {
			fresh = append(fresh, m)
		}
	}
	t.expire(now)
	t.mu.Unlock()
	t.announce(fresh)
}

func (t *Table) mergeEntry(e Entry, now time.Time) {
	if e.Address == t.Self || e.Age < 0 || e.Age > t.PeerExpiry {
		return
	}
	p := t.admit(e.Address, e.Incarnation, now.Add(-e.Age), now, false)
	if p == nil {
		return
	}
	p.place = cmp.Or(p.place, e.Place)
	p.draining = p.draining || e.Draining
	if e.Revision > p.revision {
		p.revision, p.digest = e.Revision, ""
	}
}

// admit returns the record of an incarnation, or nil where a higher one is known and was heard from recently.
func (t *Table) admit(address, incarnation string, heard, now time.Time, force bool) *Peer {
	if t.peers == nil {
		t.peers = map[string]*Peer{}
	}
	p, known := t.peers[address]
	if !known {
		if len(t.peers) >= maxPeers {
			return nil
		}
		p = &Peer{address: address, incarnation: incarnation, heard: heard}
		t.peers[address] = p
		return p
	}
	if p.incarnation != incarnation {
		silent := now.Sub(p.heard) > t.PeerExpiry
		if !force && !silent && !Newer(incarnation, p.incarnation) {
			return nil
		}
		*p = Peer{address: address, incarnation: incarnation, listed: p.listed, heard: heard}
	}
	if heard.After(p.heard) {
		p.heard = heard
	}
	return p
}

func (p *Peer) observeDemand(list []Demand, now time.Time) {
	if p.demand == nil {
		p.demand = map[string]heardDemand{}
	}
	for _, d := range list {
		if _, known := p.demand[d.Workspace]; known || len(p.demand) < maxDemand {
			p.demand[d.Workspace] = heardDemand{demand: d, heard: now}
		}
	}
	for workspace, d := range p.demand {
		if now.Sub(d.heard) > time.Minute {
			delete(p.demand, workspace)
		}
	}
}

// SetListed replaces the set of peers that the platform lists. A listed peer stays in the table also while it is silent,
// because it may be on the other side of a partition. The list lags, so it is no sign of life.
func (t *Table) SetListed(entries []Entry) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.peers {
		p.listed = false
	}
	for _, e := range entries {
		if e.Address == t.Self {
			continue
		}
		t.admit(e.Address, e.Incarnation, time.Time{}, now, false)
		if p := t.peers[e.Address]; p != nil {
			p.listed = true
			p.place = cmp.Or(p.place, e.Place)
		}
	}
	t.expire(now)
}

// expire forgets silent peers and old marks, so that memory is bounded by what is present.
func (t *Table) expire(now time.Time) {
	for address, p := range t.peers {
		if !p.listed && now.Sub(p.heard) > t.PeerExpiry {
			delete(t.peers, address)
		}
	}
	for key, m := range t.marks {
		if now.Sub(m.since) > t.MarkExpiry {
			delete(t.marks, key)
		}
	}
}

// Count returns the number of peers.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	return len(t.peers)
}

// Peers returns all peers by address.
func (t *Table) Peers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	list := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		snapshot := *p
		snapshot.demand = make(map[string]heardDemand, len(p.demand))
		for workspace, d := range p.demand {
			snapshot.demand[workspace] = d
		}
		list = append(list, snapshot)
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.address, b.address) })
	return list
}

// Addresses returns the addresses of all peers.
func (t *Table) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]string, 0, len(t.peers))
	for address := range t.peers {
		list = append(list, address)
	}
	return list
}

// SampleMembers returns up to n random peers that were heard from, with their ages.
func (t *Table) SampleMembers(n int) []Entry {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Entry
	for _, p := range t.peers {
		if age := now.Sub(p.heard); !p.heard.IsZero() && age <= t.PeerExpiry {
			list = append(list, Entry{
				Address: p.address, Incarnation: p.incarnation, Place: p.place, Revision: p.revision,
				Draining: p.draining, Age: age,
			})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
