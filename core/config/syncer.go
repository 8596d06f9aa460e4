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

// Pauses after failed watches.
const (
	minWatchPause = 200 * time.Millisecond
	maxWatchPause = 5 * time.Second
)

// A poll reads the whole document, which has about 150 KB at 760 workspaces. Its interval keeps polls of large documents at
// pollRate bytes a second, within the 5 KB/s of a daemon's control traffic, but is at most maxPollPause.
const (
	pollRate     = 2000
	maxPollPause = 2 * time.Minute
)

// Classes of the revisions that a Syncer counts.
const (
	FromWatch = "watch"
	FromPoll  = "poll"
	FromPeer  = "peer"
	Refused   = "refused"
	Older     = "older"
)

// Syncer brings revisions from the key-value service into a Store.
type Syncer struct {
	KV    kv.Store
	Store *Store
	// Decode reads a value. Nil means the package's Decode.
	Decode func(value []byte) (Document, error)
	// Rejected is told of each value that is damaged or forked; it may be nil.
	Rejected func(err error)
	// Poll is the mean interval of reads that find what a watch has missed. It is longer for large documents.
	Poll time.Duration
	// Wait bounds one watch call.
	Wait time.Duration
	// Count is called with FromWatch or FromPoll for each accepted revision, with Refused for a document that is damaged
	// or forked, and with Older where the platform serves a lower revision than is in force.
	Count func(class string)
	// Contact is called after each answer of the platform.
	Contact func()
}

// Run watches and polls until ctx ends.
func (s *Syncer) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { s.runWatch(ctx) })
	group.Go(func() { s.runPoll(ctx) })
	group.Wait()
	return ctx.Err()
}

func (s *Syncer) runWatch(ctx context.Context) {
	var after uint64
	failures := 0
	for ctx.Err() == nil {
		entries, revision, err := s.KV.Watch(ctx, Key, after, s.Wait)
		if err != nil {
			delay := min(minWatchPause<<min(failures, 10), maxWatchPause)
			failures++
			if clock.Sleep(ctx, jitter(delay)) != nil {
				return
			}
			continue
		}
		failures = 0
		// A platform that has lost its state answers with a lower revision, from which the watch then continues.
		after = revision
		s.Contact()
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
		_, missing := errors.AsType[kv.NotFoundError](err)
		if err == nil || missing {
			s.Contact()
		}
		if err == nil {
			s.Offer(entry.Value(), FromPoll)
		}
		if clock.Sleep(ctx, jitter(s.pollPause(len(entry.Value())))) != nil {
			return
		}
	}
}

// pollPause returns the pause after a poll that has read a value of the given size.
func (s *Syncer) pollPause(size int) time.Duration {
	return max(s.Poll, min(time.Duration(size)*time.Second/pollRate, maxPollPause))
}

// Offer puts the configuration in a value in force, if it is newer. The class names the source for Count.
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
	if s.Rejected != nil {
		s.Rejected(err)
	}
}

// jitter spreads the calls of many daemons over 75 to 125 % of d.
func jitter(d time.Duration) time.Duration {
	return d*3/4 + time.Duration(rand.Int64N(int64(d/2)+1))
}
