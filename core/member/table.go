package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// maxPeers is the maximum number of peers in the table. The planned size is 440 daemons.
const maxPeers = 4096

// maxDemandWorkspaces is the maximum number of workspaces whose demand is kept for one peer. The planned size is 760.
const maxDemandWorkspaces = 2048

// demandExpiry is the time without an update after which the demand of a workspace at a peer is removed. Peers send
// only a part of their demand in each view, so a view without the workspace does not remove it.
const demandExpiry = time.Minute

// Table holds the peers and the marks on endpoints. Its exported fields must be set before use. It is safe for
// concurrent use.
type Table struct {
	// Self is the daemon's own address, which is never added to the table.
	Self string
	// PeerExpiry is the time without messages after which a peer is removed, unless the platform lists it.
	PeerExpiry time.Duration
	// MarkExpiry is the age above which a mark is removed.
	MarkExpiry time.Duration
	// OnMark is called for each mark that is new or has changed from leaving to dead. Calls may be concurrent, and it may
	// call the table. It may be nil.
	OnMark func(Mark)

	mu    sync.Mutex
	peers map[string]*Peer
	marks map[markKey]markState
	// hasList is set once the platform's list has been received.
	hasList bool
}

// MergeRequest merges the view that a calling peer sent.
func (t *Table) MergeRequest(v View) { t.merge(v, false) }

// MergeResponse merges the view in the response to a call to v.Address. The incarnation that responds at an address is
// the current one, even if it is lower than the one known before.
func (t *Table) MergeResponse(v View) { t.merge(v, true) }

func (t *Table) merge(v View, isResponse bool) {
	now := time.Now()
	t.mu.Lock()
	if v.Address != t.Self {
		if p := t.upsert(v.Address, v.Incarnation, now, now, isResponse); p != nil {
			p.place = v.Place
			// A planned stop is never canceled, so an older view must not reset the field.
			p.draining = p.draining || v.Draining
			p.stranded, p.serves, p.heardAt, p.contactAt = v.Stranded, v.ServesDelegated, now, time.Time{}
			if v.ContactAge > 0 {
				p.contactAt = now.Add(-v.ContactAge)
			}
			if v.Revision >= p.revision {
				p.revision, p.digest = v.Revision, v.Digest
			}
			p.mergeDemand(v.Demand, now)
		}
	}
	for _, e := range v.Members {
		t.mergeMember(e, now)
	}
	var changed []Mark
	for _, m := range v.Marks {
		if t.mergeMark(m, now) {
			changed = append(changed, m)
		}
	}
	t.expire(now)
	t.mu.Unlock()
	t.notifyMarks(changed)
}

func (t *Table) mergeMember(m Member, now time.Time) {
	if m.Address == t.Self || m.Age < 0 || m.Age > t.PeerExpiry {
		return
	}
	p := t.upsert(m.Address, m.Incarnation, now.Add(-m.Age), now, false)
	if p == nil {
		return
	}
	p.place = cmp.Or(p.place, m.Place)
	p.draining = p.draining || m.Draining
	if m.Revision > p.revision {
		p.revision, p.digest = m.Revision, ""
	}
}

// upsert returns the table's Peer for an incarnation, which it creates if necessary. It returns nil if the table is
// full, or if a higher incarnation is known that has not expired and replace is false. A peer that was only listed has
// a zero lastSeen and counts as expired, so any other incarnation replaces it.
func (t *Table) upsert(address, incarnation string, lastSeen, now time.Time, replace bool) *Peer {
	if t.peers == nil {
		t.peers = map[string]*Peer{}
	}
	p, known := t.peers[address]
	if !known {
		if len(t.peers) >= maxPeers {
			return nil
		}
		p = &Peer{address: address, incarnation: incarnation, lastSeen: lastSeen}
		t.peers[address] = p
		return p
	}
	if p.incarnation != incarnation {
		expired := now.Sub(p.lastSeen) > t.PeerExpiry
		if !replace && !expired && !Newer(incarnation, p.incarnation) {
			return nil
		}
		*p = Peer{address: address, incarnation: incarnation, listed: p.listed, lastSeen: lastSeen}
	}
	if lastSeen.After(p.lastSeen) {
		p.lastSeen = lastSeen
	}
	return p
}

func (p *Peer) mergeDemand(list []Demand, now time.Time) {
	if p.demand == nil {
		p.demand = map[string]receivedDemand{}
	}
	for _, d := range list {
		if _, known := p.demand[d.Workspace]; known || len(p.demand) < maxDemandWorkspaces {
			p.demand[d.Workspace] = receivedDemand{demand: d, receivedAt: now}
		}
	}
	for workspace, d := range p.demand {
		if now.Sub(d.receivedAt) > demandExpiry {
			delete(p.demand, workspace)
		}
	}
}

// LinkMbps returns the rate of a peer's link in Mbit/s as it has registered it, or 0 if it is not known.
func (t *Table) LinkMbps(address string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[address]; p != nil {
		return p.linkMbps
	}
	return 0
}

// SetListed replaces the set of peers that the platform lists. A listed peer stays in the table even if it sends
// nothing, because it may be on the other side of a partition. The list does not show that a peer is alive, because the
// platform updates it with a delay.
func (t *Table) SetListed(listed []Member) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasList = true
	for _, p := range t.peers {
		p.listed = false
	}
	for _, m := range listed {
		if m.Address == t.Self {
			continue
		}
		t.upsert(m.Address, m.Incarnation, time.Time{}, now, false)
		if p := t.peers[m.Address]; p != nil {
			p.listed = true
			p.place = cmp.Or(p.place, m.Place)
			p.linkMbps = m.LinkMbps
		}
	}
	t.expire(now)
}

// expire removes expired peers and marks, so that they do not accumulate in memory.
func (t *Table) expire(now time.Time) {
	for address, p := range t.peers {
		if !p.listed && now.Sub(p.lastSeen) > t.PeerExpiry {
			delete(t.peers, address)
		}
	}
	for key, m := range t.marks {
		if now.Sub(m.since) > t.MarkExpiry {
			delete(t.marks, key)
		}
	}
}

// HasList reports whether the platform's list has been received. Before that, there may be peers that the table lacks.
func (t *Table) HasList() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.hasList
}

// Count returns the number of peers.
func (t *Table) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	return len(t.peers)
}

// Peers returns snapshots of all peers, sorted by address.
func (t *Table) Peers() []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	list := make([]Peer, 0, len(t.peers))
	for _, p := range t.peers {
		snapshot := *p
		snapshot.demand = make(map[string]receivedDemand, len(p.demand))
		for workspace, d := range p.demand {
			snapshot.demand[workspace] = d
		}
		list = append(list, snapshot)
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.address, b.address) })
	return list
}

// Addresses returns the addresses of all peers, in no particular order.
func (t *Table) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]string, 0, len(t.peers))
	for address := range t.peers {
		list = append(list, address)
	}
	return list
}

// ListedAddresses returns the addresses of the listed peers of which no planned stop is known, in no particular order.
func (t *Table) ListedAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]string, 0, len(t.peers))
	for address, p := range t.peers {
		if p.listed && !p.draining {
			list = append(list, address)
		}
	}
	return list
}

// ServingAddresses returns the addresses of all peers of which no planned stop is known, in no particular order.
func (t *Table) ServingAddresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(time.Now())
	list := make([]string, 0, len(t.peers))
	for address, p := range t.peers {
		if !p.draining {
			list = append(list, address)
		}
	}
	return list
}

// SampleMembers returns up to n random peers that any daemon has received a message from within PeerExpiry.
func (t *Table) SampleMembers(n int) []Member {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []Member
	for _, p := range t.peers {
		if age := now.Sub(p.lastSeen); !p.lastSeen.IsZero() && age <= t.PeerExpiry {
			list = append(list, Member{
				Address: p.address, Incarnation: p.incarnation, Place: p.place, Revision: p.revision,
				Draining: p.draining, Age: age,
			})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
