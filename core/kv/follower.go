package kv

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"radishhollow/core/clock"
)

// Defaults and limits of Follower.
const (
	// minRetryDelay is short, because the store may have compacted changes that the follower sees only in the next list.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// DefaultRelistInterval limits, together with WatchWait, how long a change stays unnoticed if the response to a watch
	// lacks it.
	DefaultRelistInterval = 10 * time.Second
)

// Follower keeps a copy of the entries under a prefix up to date: it lists the prefix and then watches it. Its fields
// must be set before Run.
type Follower struct {
	Store  Store
	Prefix string
	// WatchWait is the longest time that one watch waits for changes.
	WatchWait time.Duration
	// BatchDelay is the pause after a watch that returned changes, so that the next watch returns several quick changes
	// together. It delays a change by at most this time.
	BatchDelay time.Duration
	// RelistInterval is the time between lists. It is checked only after a watch has returned, so while nothing changes
	// the lists are at least WatchWait apart. Zero means DefaultRelistInterval.
	RelistInterval time.Duration
	// RelistDue is called after Apply for the changes of a watch, and reports whether the next list is due at once, whatever
	// RelistInterval. It may be nil.
	RelistDue func() bool
	// Apply is called with all entries of a list, where full is true, or with the changes of a watch, and with the
	// store's revision. It is called only from the goroutine of Run.
	Apply func(entries []Entry, revision Revision, full bool)
	// OnError is called with the error of each failed call, and with OldRevisionError for each response that is refused
	// because of its revision. It may be nil.
	OnError func(err error)
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	// highest is the highest revision received. It never falls: lists with a lower revision are refused until the store
	// reaches it again.
	var highest Revision
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		entries, revision, err := f.Store.List(ctx, f.Prefix)
		if err == nil && revision.Before(highest) {
			// The response is older than the current copy.
			err = OldRevisionError{Want: highest, Got: revision}
		}
		if err == nil {
			retryDelay = minRetryDelay
			f.Apply(entries, revision, true)
			highest, err = f.watch(ctx, revision)
		}
		if err == nil {
			continue
		}
		f.reportError(ctx, err)
		if clock.Sleep(ctx, retryDelay/2+rand.N(retryDelay)) != nil {
			break
		}
		retryDelay = min(2*retryDelay, maxRetryDelay)
	}
	return ctx.Err()
}

// watch applies changes until the next list is due or a call fails, and returns the last revision.
func (f *Follower) watch(ctx context.Context, after Revision) (Revision, error) {
	relistAt := time.Now().Add(cmp.Or(f.RelistInterval, DefaultRelistInterval))
	for ctx.Err() == nil && time.Now().Before(relistAt) {
		changes, revision, err := f.Store.Watch(ctx, f.Prefix, after, f.WatchWait)
		if err != nil {
			return after, err
		}
		if revision.Before(after) {
			return after, OldRevisionError{Want: after, Got: revision}
		}
		after = revision
		f.Apply(changes, revision, false)
		if f.RelistDue != nil && f.RelistDue() {
			return after, nil
		}
		if len(changes) > 0 {
			// The error is ignored because Sleep fails only when ctx has ended, which the loop checks.
			_ = clock.Sleep(ctx, f.BatchDelay)
		}
	}
	return after, nil
}

func (f *Follower) reportError(ctx context.Context, err error) {
	if f.OnError != nil && ctx.Err() == nil {
		f.OnError(err)
	}
}
