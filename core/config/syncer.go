package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

// Limits of the exponential delay after failed watches.
const (
	minWatchPause = 200 * time.Millisecond
	maxWatchPause = 5 * time.Second
)

// A poll reads the whole document, which has about 150 KB with 760 workspaces. The interval of polls is extended for
// large documents, so that polls read pollBytesPerSecond, which is within the 5 KB/s budget for the control traffic of a
// daemon. It is not extended beyond maxPollPause.
const (
	pollBytesPerSecond = 2000
	maxPollPause       = 2 * time.Minute
)

// Classes of offered documents, as passed to Syncer.Count.
const (
	FromWatch = "watch"
	FromPoll  = "poll"
	FromPeer  = "peer"
	Refused   = "refused"
	Older     = "older"
)

// Syncer transfers new revisions of the document from the key-value service into a Store.
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
	// WatchWait limits the duration of one watch call.
	WatchWait time.Duration
	// Count is called with FromWatch or FromPoll for each accepted revision, with Refused for a document that is
	// damaged or causes a ForkError, and with Older if the key-value service returns a lower revision than the one in
	// force.
	Count func(class string)
	// OnContact is called after each response of the key-value service.
	OnContact func()
}

// Run watches and polls the key-value service until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.runWatch(ctx) })
	group.Go(func() { s.runPoll(ctx) })
	group.Wait()
	return ctx.Err()
}

func (s *Syncer) runWatch(ctx context.Context) {
	var afterRevision uint64
	failures := 0
	for ctx.Err() == nil {
		entries, revision, err := s.KV.Watch(ctx, Key, afterRevision, s.WatchWait)
		if err != nil {
			delay := min(minWatchPause<<min(failures, 10), maxWatchPause)
			failures++
			if clock.Sleep(ctx, jitter(delay)) != nil {
				return
			}
			continue
		}
		failures = 0
		// After the key-value service has lost its state, it returns a lower revision. The watch continues from there.
		afterRevision = revision
		s.OnContact()
		for _, entry := range entries {
			if entry.Key() == Key && !entry.Deleted() {
				s.Offer(entry.Value(), FromWatch)
			}
		}
	}
}

func (s *Syncer) runPoll(ctx context.Context) {
	for ctx.Err() == nil {
		entry, err := s.KV.Get(ctx, Key)
		_, notFound := errors.AsType[kv.NotFoundError](err)
		if err == nil || notFound {
			s.OnContact()
		}
		if err == nil {
			s.Offer(entry.Value(), FromPoll)
		}
		if clock.Sleep(ctx, jitter(s.pollPause(len(entry.Value())))) != nil {
			return
		}
	}
}

// pollPause returns the delay after a poll that read a value of the given size in bytes.
func (s *Syncer) pollPause(size int) time.Duration {
	return max(s.PollInterval, min(time.Duration(size)*time.Second/pollBytesPerSecond, maxPollPause))
}

// Offer decodes a value and puts its document in force if it is newer. class is the source that is passed to Count.
func (s *Syncer) Offer(value []byte, class string) {
	decode := s.Decode
	if decode == nil {
		decode = Decode
	}
	document, err := decode(value)
	if err != nil {
		s.reject(err)
		return
	}
	accepted, err := s.Store.Offer(document)
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
