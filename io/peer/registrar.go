package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/route"
)

// prefix is the part of the key-value service that lists the daemons.
const prefix = "members/"

// Registrar keeps the daemon's registration alive and reads the platform's list of daemons.
type Registrar struct {
	KV   kv.Store
	Node *Node
	// TTL is the time to live of the registration; it is renewed three times in this time.
	TTL time.Duration
	// WatchTimeout bounds one watch of the list.
	WatchTimeout time.Duration
	// RelistInterval is the interval of full reads beside the watch.
	RelistInterval time.Duration
	// BatchDelay follows each change of the list, so that daemons that start together are read in few calls.
	BatchDelay time.Duration
	// ShareKeys keeps the keys that sign exchanges in the store.
	ShareKeys bool

	shared *sharedKeys
}

// registration is the value at members/{address}.
type registration struct {
	Address     string `json:"address"`
	Incarnation string `json:"incarnation"`
	Place       string `json:"place"`
}

// Run registers and lists until ctx ends, and then gives up the registration.
func (r *Registrar) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { r.runRegister(ctx) })
	group.Go(func() { r.runList(ctx) })
	group.Wait()
	return ctx.Err()
}

func (r *Registrar) runRegister(ctx context.Context) {
	lease := ""
	for {
		lease = r.refresh(ctx, lease)
		if clock.Sleep(ctx, r.TTL/3) != nil {
			r.revoke(ctx, lease)
			return
		}
	}
}

// refresh renews the lease, or registers anew where there is none or it has ended. It returns the lease to renew next.
func (r *Registrar) refresh(ctx context.Context, lease string) string {
	if lease != "" {
		err := r.KV.Renew(ctx, lease)
		if err == nil {
			r.Node.Isolation.RecordContact()
			return lease
		}
		if _, ended := errors.AsType[kv.LeaseLostError](err); !ended {
			// The platform is down: the lease may still be alive, and the next renewal tells.
			return lease
		}
	}
	lease, err := r.KV.Grant(ctx, r.TTL)
	if err != nil {
		return ""
	}
	r.Node.Isolation.RecordContact()
	if err := r.register(ctx, lease); err != nil {
		// Without its entry the lease is useless; the next refresh starts over.
		r.revoke(ctx, lease)
		return ""
	}
	return lease
}

// register overwrites what is left of an earlier registration at this address.
func (r *Registrar) register(ctx context.Context, lease string) error {
	key := prefix + r.Node.Address
	var revision uint64
	entry, err := r.KV.Get(ctx, key)
	if _, missing := errors.AsType[kv.NotFoundError](err); err != nil && !missing {
		return errors.Trace(err)
	} else if !missing {
		revision = entry.Revision()
	}
	value, err := json.Marshal(registration{
		Address: r.Node.Address, Incarnation: r.Node.Incarnation, Place: r.Node.Place,
	})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = r.KV.Put(ctx, key, value, revision, lease)
	return errors.Trace(err)
}

// revoke removes the registration at a planned stop, also where ctx has ended.
func (r *Registrar) revoke(ctx context.Context, lease string) {
	if lease == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	// A failure is harmless: the lease ends by itself.
	_ = r.KV.Revoke(ctx, lease)
}

// runList keeps the last list during an outage.
func (r *Registrar) runList(ctx context.Context) {
	r.shared = &sharedKeys{store: r.KV, keys: &r.Node.Keys}
	for ctx.Err() == nil {
		entries, revision, err := r.KV.List(ctx, prefix)
		if err == nil {
			r.Node.Isolation.RecordContact()
			r.follow(ctx, entries, revision)
		}
		if clock.Sleep(ctx, r.TTL/10+rand.N(r.TTL/10+1)) != nil {
			return
		}
	}
}

// follow applies changes until the watch fails, the platform has gone back in time, or a full read is due.
func (r *Registrar) follow(ctx context.Context, entries []kv.Entry, after uint64) {
	known := map[string]member.Entry{}
	r.apply(known, entries)
	r.Node.Table.SetListed(values(known))
	due := time.Now().Add(r.RelistInterval)
	for ctx.Err() == nil && time.Now().Before(due) {
		r.renewKeys(ctx, len(known))
		changes, revision, err := r.KV.Watch(ctx, prefix, after, r.WatchTimeout)
		if err != nil || revision < after {
			return
		}
		r.Node.Isolation.RecordContact()
		after = revision
		if len(changes) > 0 {
			r.apply(known, changes)
			r.Node.Table.SetListed(values(known))
			if clock.Sleep(ctx, r.BatchDelay) != nil {
				return
			}
		}
	}
}

func (r *Registrar) renewKeys(ctx context.Context, daemons int) {
	if r.ShareKeys {
		r.shared.renew(ctx, daemons)
	}
}

func (r *Registrar) apply(known map[string]member.Entry, entries []kv.Entry) {
	for _, entry := range entries {
		if r.ShareKeys {
			r.shared.take(entry)
		}
		var value registration
		if entry.Deleted() {
			delete(known, strings.TrimPrefix(entry.Key(), prefix))
			continue
		}
		if json.Unmarshal(entry.Value(), &value) != nil || !route.IsAddress(value.Address) {
			continue
		}
		known[strings.TrimPrefix(entry.Key(), prefix)] = member.Entry{
			Address: value.Address, Incarnation: value.Incarnation, Place: value.Place,
		}
	}
}

func values(known map[string]member.Entry) []member.Entry {
	list := make([]member.Entry, 0, len(known))
	for _, entry := range known {
		list = append(list, entry)
	}
	return list
}
