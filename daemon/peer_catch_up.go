package daemon

import (
	"sync/atomic"
	"time"

	"radishhollow/core/config"
	"radishhollow/core/kv"
	"radishhollow/core/member"
)

// maxPeerCatchUp is the time after its start in which a daemon waits for its peers before it is ready. An exchange takes
// some milliseconds; a peer that is listed but lost may not answer.
const maxPeerCatchUp = time.Second

// peerCatchUp tells whether a daemon that starts has yet to hear from a peer, or to fetch the configuration that a peer
// has. The store may have come back from an older copy, with an older configuration than the one in force.
type peerCatchUp struct {
	startedAt time.Time
	members   *member.Table
	documents *config.Store
	// listed is set once the list of daemons has been read, and restored if the store has come back from an older copy
	// before.
	listed, restored atomic.Bool
}

// firstEra is the era of a store that has never come back from an older copy.
const firstEra = 1

func (c *peerCatchUp) recordList(revision kv.Revision) {
	c.restored.Store(revision.Era() > firstEra)
	c.listed.Store(true)
}

func (c *peerCatchUp) pending() bool {
	if time.Since(c.startedAt) >= maxPeerCatchUp {
		return false
	}
	if !c.listed.Load() {
		return true
	}
	peers := c.members.Peers()
	// The copy may be older than the registrations, which the daemons write again within a second of the store's return.
	heard := len(peers) == 0 && !c.restored.Load()
	for _, p := range peers {
		if p.Revision() > c.documents.Current().Revision() {
			return true
		}
		_, seen := p.LastSeenAge()
		heard = heard || seen
	}
	return !heard
}
