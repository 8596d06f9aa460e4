package config

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/guard"
	"radishhollow/core/kv"
)

// Limits of the exponential delay after failed watches.
const (
	minWatchRetryDelay = 200 * time.Millisecond
	maxWatchRetryDelay = 5 * time.Second
)

// A poll reads the whole document, which has about 150 KB with 760 workspaces. The interval of polls is extended for
// large documents, so that polls read about pollBytesPerSecond, which is within the 5 KB/s budget for the control
// traffic of a daemon. It is not extended beyond maxPollDelay.
const (
	pollBytesPerSecond = 2000
	maxPollDelay       = 2 * time.Minute
)

// Classes of offered documents. The Syncer passes them to Count, except FromPeer, which the peer exchange counts.
const (
	FromWatch = "watch"
	FromPoll  = "poll"
	FromPeer  = "peer"
	// Refused is the class of a document that is damaged or causes a ForkError.
	Refused = "refused"
	// Older is the class of a document with a lower revision than the one in force.
	Older = "older"
)

// Syncer puts new revisions of the document in force in a Store. Run watches and polls Key, at which a Writer stores
// the document; Offer decodes, offers and counts one entry. A daemon that forwards requests calls only Offer, with the
// entries that a kv.Follower reads at another key, and then needs only Store and Count. The fields must be set before
// use, except those that may be nil.
type Syncer struct {
	KV    kv.Store
	Store *Store
	// Decode decodes a value. If it is nil, the function Decode of this package is used.
	Decode func(value []byte) (Document, error)
	// OnReject, if not nil, is called for each value that is damaged or causes a ForkError.
	OnReject func(err error)
	// PollInterval is the mean interval of the reads that find revisions missed by the watch. The interval is longer
	// for large documents.
	PollInterval time.Duration
	// WatchWait is the longest time that one watch waits for changes.
	WatchWait time.Duration
	// Count is called with FromWatch or FromPoll for each accepted revision, with Refused for each rejected document, and
	// with Older if the key-value service returns a lower revision than the one in force. Calls may be concurrent.
	Count func(class string)
	// OnContact is called after each response of the key-value service. Calls may be concurrent.
	OnContact func()
}

// Run watches and polls Key in the key-value service until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	return guard.Run(ctx, s.runWatch, s.runPoll)
}

func (s *Syncer) runWatch(ctx context.Context) {
	var afterStoreRevision kv.Revision
	failures := 0
	for ctx.Err() == nil {
		entries, storeRevision, err := s.KV.Watch(ctx, Key, afterStoreRevision, s.WatchWait)
		if err != nil {
			delay := min(minWatchRetryDelay<<min(failures, 10), maxWatchRetryDelay)
			failures++
			if !hasHistory(err) {
				// The next watch returns the key as it is now.
				afterStoreRevision = kv.Revision{}
			}
			if clock.Sleep(ctx, jitter(delay)) != nil {
				return
			}
			continue
		}
		failures = 0
		afterStoreRevision = storeRevision
		s.OnContact()
		for _, entry := range entries {
			if entry.Key() == Key && !entry.Deleted() {
				s.Offer(entry, FromWatch)
			}
		}
	}
}

// hasHistory reports whether the key-value service may still have the revision of a failed watch.
func hasHistory(err error) bool {
	_, ended := errors.AsType[kv.EraEndedError](err)
	_, compacted := errors.AsType[kv.CompactedError](err)
	return !ended && !compacted
}

func (s *Syncer) runPoll(ctx context.Context) {
	for ctx.Err() == nil {
		entry, err := s.KV.Get(ctx, Key)
		_, notFound := errors.AsType[kv.NotFoundError](err)
		if err == nil || notFound {
			s.OnContact()
		}
		if err == nil {
			s.Offer(entry, FromPoll)
		}
		if clock.Sleep(ctx, jitter(s.pollDelay(len(entry.Value())))) != nil {
			return
		}
	}
}

// pollDelay returns the delay after a poll that read a value of the given size in bytes.
func (s *Syncer) pollDelay(size int) time.Duration {
	return max(s.PollInterval, min(time.Duration(size)*time.Second/pollBytesPerSecond, maxPollDelay))
}

// Offer decodes the value of an entry and puts its document in force if it is newer. class is the source that is passed
// to Count.
func (s *Syncer) Offer(entry kv.Entry, class string) {
	decode := s.Decode
	if decode == nil {
		decode = Decode
	}
	document, err := decode(entry.Value())
	if err != nil {
		s.reject(err)
		return
	}
	accepted, err := s.Store.Offer(document.InEra(entry.Revision().Era()))
	switch {
	case err != nil:
		s.reject(err)
	case accepted:
		s.Count(class)
	case document.Revision() < s.Store.Current().Revision():
		s.Count(Older)
	}
}

func (s *Syncer) reject(err error) {
	s.Count(Refused)
	if s.OnReject != nil {
		s.OnReject(err)
	}
}

// jitter returns a random duration of 75 to 125 % of d, to spread the calls of many daemons.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}
