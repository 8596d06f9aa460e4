package kv

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"radishhollow/core/clock"
)

// Defaults of Follower.
const (
	// firstRetry is short, because the history of the store may be gone while a change waits to be seen.
	firstRetry = 50 * time.Millisecond
	lastRetry  = time.Second
	// DefaultRelist finds what a watch that answers without its changes has missed.
	DefaultRelist = 10 * time.Second
)

// Follower keeps a copy of a prefix: it lists the prefix and then watches it. Fields are set before Run.
type Follower struct {
	Store  Store
	Prefix string
	// WatchTimeout bounds one watch.
	WatchTimeout time.Duration
	// BatchDelay follows each change, so that changes in quick succession are read in one call. It delays their effect.
	BatchDelay time.Duration
	// RelistInterval is the interval of full reads beside the watch.
	RelistInterval time.Duration
	// Apply takes the entries of a full read, or the changes of a watch, and the store's revision. It is called from the
	// goroutine of Run only.
	Apply func(entries []Entry, revision uint64, whole bool)
	// OnError is told of each call that fails; it may be nil.
	OnError func(err error)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var highest uint64
	pause := firstRetry
	for ctx.Err() == nil {
		entries, revision, err := f.Store.List(ctx, f.Prefix)
		if err == nil && revision < highest {
			// The answer is older than what is known already.
			err = OldRevisionError{Want: highest, Got: revision}
		}
		if err == nil {
			pause = firstRetry
			f.Apply(entries, revision, true)
			highest, err = f.watch(ctx, revision)
		}
		if err == nil {
			continue
		}
		f.fail(ctx, err)
		if clock.Sleep(ctx, pause/2+rand.N(pause)) != nil {
			break
		}
		pause = min(2*pause, lastRetry)
	}
	return ctx.Err()
}

// watch applies changes until a full read is due or a call fails, and returns the last revision.
func (f *Follower) watch(ctx context.Context, after uint64) (uint64, error) {
	due := time.Now().Add(cmp.Or(f.RelistInterval, DefaultRelist))
	for ctx.Err() == nil && time.Now().Before(due) {
		changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, f.WatchTimeout)
		if err != nil {
			return after, err
		}
		if revision < after {
			return after, OldRevisionError{Want: after, Got: revision}
		}
		after = revision
		f.Apply(changes, revision, false)
		if len(changes) > 0 {
			// Where the pause is cut short, ctx has ended.
			_ = clock.Sleep(ctx, f.BatchDelay)
		}
	}
	return after, nil
}

func (f *Follower) fail(ctx context.Context, err error) {
	if f.OnError != nil && ctx.Err() == nil {
		f.OnError(err)
	}
}
