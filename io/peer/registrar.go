package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/guard"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/route"
)

// MembersPrefix is the key prefix of the daemons' registrations in the key-value service. They form the platform's list
// of daemons, which is separate from its instance list.
const MembersPrefix = "members/"

// Registrar keeps the daemon's registration alive and follows the platform's list of daemons. Its exported fields must
// be set before Run and RunList.
type Registrar struct {
	KV   kv.Store
	Node *Node
	// TTL is the time to live of the registration's lease, which is renewed every TTL/3.
	TTL time.Duration
	// WatchWait is the longest time that one watch waits for changes.
	WatchWait time.Duration
	// RelistInterval is the time between full reads of the list. It is checked only after a watch has returned, so while
	// nothing changes the reads are at least WatchWait apart.
	RelistInterval time.Duration
	// BatchDelay is the pause after a watch that returned changes, so that few calls read the changes of many daemons
	// that start together.
	BatchDelay time.Duration
	// ShareKeys states that the peer keys are kept in the key-value service. The Registrar then reads and rotates them,
	// and each read of them replaces Node.Keys, also if a reload of the settings has set them.
	ShareKeys bool
	// OnListed is called after each full read of the list at a revision, when Node.Table has its daemons. It may be nil.
	OnListed func(revision kv.Revision)
	// OnLost is called when the store is seen to have lost what this daemon had written or knew: "registration" or
	// "keys". The revision before is that of the lost entry. Calls come from the goroutine of RunList. It may be nil.
	OnLost func(what string, before, revision kv.Revision)
	// OnReplaced is called when the first write of the registration replaces that of an earlier daemon at this address, which has ended
	// without a planned stop or could not reach the store then. It may be nil.
	OnReplaced func(revision kv.Revision)

	shared *sharedKeys
	// registration is what runRegister has written, for runList to notice that the store has lost it.
	registration registrationState
	// wrote is set from the first write of the registration on. Only runRegister uses it.
	wrote bool
}

// Run keeps the registration alive until ctx ends, and then removes it.
func (r *Registrar) Run(ctx context.Context) error { return guard.Run(ctx, r.runRegister) }

// RunList keeps the list of daemons up to date until ctx ends. It may run longer than Run.
func (r *Registrar) RunList(ctx context.Context) error { return guard.Run(ctx, r.runList) }

// runList lists the daemons and follows the changes. During an outage of the platform the last list stays in use.
// Unlike kv.Follower, runList accepts a list with a lower revision than the one before.
func (r *Registrar) runList(ctx context.Context) {
	r.shared = &sharedKeys{store: r.KV, keys: &r.Node.Keys, draw: rand.IntN}
	for ctx.Err() == nil {
		entries, revision, err := r.KV.List(ctx, MembersPrefix)
		if err == nil {
			r.Node.Isolation.RecordContact()
			err = r.follow(ctx, entries, revision)
		}
		// The random part spreads the calls of many daemons.
		pause := r.TTL/10 + rand.N(r.TTL/10+1)
		if isNewHistory(err) {
			pause = rand.N(min(maxRelistPause, r.TTL/10) + 1)
		}
		if clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// maxRelistPause limits the pause after a watch whose revision the store does not have any more.
const maxRelistPause = 200 * time.Millisecond

// isNewHistory reports whether a watch failed because the store has come back from an older copy, or has compacted the
// changes. Only the next list then shows what has changed.
func isNewHistory(err error) bool {
	_, ended := errors.AsType[kv.EraEndedError](err)
	_, compacted := errors.AsType[kv.CompactedError](err)
	return ended || compacted
}

// follow applies changes until the watch fails, the platform returns a lower revision, or a full read is due. It returns
// the error of the watch.
func (r *Registrar) follow(ctx context.Context, entries []kv.Entry, after kv.Revision) error {
	members := map[string]member.Member{}
	r.applyList(members, entries, after)
	if r.OnListed != nil {
		r.OnListed(after)
	}
	relistAt := time.Now().Add(r.RelistInterval)
	for ctx.Err() == nil && time.Now().Before(relistAt) {
		changes, revision, err := r.KV.Watch(ctx, MembersPrefix, after, r.WatchWait)
		if err != nil || revision.Before(after) {
			return err
		}
		r.Node.Isolation.RecordContact()
		after = revision
		if len(changes) > 0 {
			r.apply(members, changes)
			r.setListed(members, revision)
			if err := clock.Sleep(ctx, r.BatchDelay); err != nil {
				return err
			}
		}
		// Not before the first watch: daemons that start together would not know each other yet, and all write.
		r.rotateKeys(ctx, len(members))
	}
	return nil
}

// applyList applies a full list to empty members.
func (r *Registrar) applyList(members map[string]member.Member, entries []kv.Entry, revision kv.Revision) {
	r.apply(members, entries)
	r.setListed(members, revision)
	if r.ShareKeys && !slices.ContainsFunc(entries, func(entry kv.Entry) bool { return entry.Key() == sharedKeysKey }) {
		if before, lost := r.shared.applyMissing(revision); lost {
			r.reportLost("keys", before, revision)
		}
	}
}

func (r *Registrar) reportLost(what string, before, revision kv.Revision) {
	if r.OnLost != nil {
		r.OnLost(what, before, revision)
	}
}

// setListed passes the daemons on. It also shows whether the store has lost this daemon's own registration.
func (r *Registrar) setListed(members map[string]member.Member, revision kv.Revision) {
	r.Node.Table.SetListed(memberList(members))
	_, listed := members[r.Node.Address]
	if before, lost := r.registration.observe(revision, listed); lost {
		r.reportLost("registration", before, revision)
	}
}

func (r *Registrar) rotateKeys(ctx context.Context, daemons int) {
	if r.ShareKeys {
		r.shared.rotateIfDue(ctx, daemons)
	}
}

// apply applies entries to members and, with ShareKeys, to the peer keys. The entry of the keys has no address and is
// therefore not added to members.
func (r *Registrar) apply(members map[string]member.Member, entries []kv.Entry) {
	for _, entry := range entries {
		if r.ShareKeys {
			r.shared.applyEntry(entry)
		}
		var value memberRegistration
		if entry.Deleted() {
			delete(members, strings.TrimPrefix(entry.Key(), MembersPrefix))
			continue
		}
		// Peers refuse a whole view that contains a text above the limit.
		if json.Unmarshal(entry.Value(), &value) != nil || !route.IsAddress(value.Address) ||
			!withinStringLimit(value.Incarnation, value.Place) {
			continue
		}
		members[strings.TrimPrefix(entry.Key(), MembersPrefix)] = member.Member{
			Address: value.Address, Incarnation: value.Incarnation, Place: value.Place, LinkMbps: value.LinkMbps,
		}
	}
}

func memberList(members map[string]member.Member) []member.Member {
	list := make([]member.Member, 0, len(members))
	for _, m := range members {
		list = append(list, m)
	}
	return list
}
