package relay

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"radishhollow/core/kv"
)

// fakeStore is a linearizable key-value service with one revision counter. It may come back from an older copy, and
// compares the number of a revision alone, whatever its era.
type fakeStore struct {
	mu        sync.Mutex
	revision  kv.Revision
	entries   map[string]kv.Entry
	log       []kv.Entry
	compacted kv.Revision
	changed   chan struct{}
	calls     map[string]int // by daemon
	down      bool
	// hung makes the watches that wait at a restore wait on until their end. Otherwise they fail at once.
	hung bool
	// answerDelay is the time between the state that an answer shows and its arrival.
	answerDelay time.Duration
}

// storeCopy is a copy of the state of a fakeStore.
type storeCopy struct {
	at        time.Time
	revision  kv.Revision
	entries   map[string]kv.Entry
	log       []kv.Entry
	compacted kv.Revision
}

func newFakeStore() *fakeStore {
	return &fakeStore{revision: kv.NewRevision(1, 1), entries: map[string]kv.Entry{}, changed: make(chan struct{}), calls: map[string]int{}}
}

func (s *fakeStore) put(key, value string) kv.Revision {
	return s.write(func(revision kv.Revision) kv.Entry { return kv.NewEntry(key, []byte(value), revision, false) })
}

func (s *fakeStore) remove(key string) kv.Revision {
	return s.write(func(revision kv.Revision) kv.Entry { return kv.NewEntry(key, nil, revision, true) })
}

func (s *fakeStore) write(entry func(revision kv.Revision) kv.Entry) kv.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = s.revision.Next()
	change := entry(s.revision)
	if change.Deleted() {
		delete(s.entries, change.Key())
	} else {
		s.entries[change.Key()] = change
	}
	s.log = append(s.log, change)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *fakeStore) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.log = s.revision, nil
}

// setDown begins or ends an outage, and returns whether there was one.
func (s *fakeStore) setDown(down bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.down
	s.down = down
	return before
}

func (s *fakeStore) totalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.calls {
		total += n
	}
	return total
}

func (s *fakeStore) list(prefix string) ([]kv.Entry, kv.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []kv.Entry
	for key, entry := range s.entries {
		if strings.HasPrefix(key, prefix) {
			list = append(list, entry)
		}
	}
	return list, s.revision
}

func (s *fakeStore) changes(prefix string, after kv.Revision) ([]kv.Entry, kv.Revision, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Number() < s.compacted.Number() || after.Number() > s.revision.Number() {
		return nil, s.revision, nil, kv.CompactedError{After: after}
	}
	var list []kv.Entry
	for _, change := range s.log {
		if change.Revision().Number() > after.Number() && strings.HasPrefix(change.Key(), prefix) {
			list = append(list, change)
		}
	}
	return list, s.revision, s.changed, nil
}

func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{
		at: time.Now(), revision: s.revision, entries: maps.Clone(s.entries), log: slices.Clone(s.log), compacted: s.compacted,
	}
}

// restore replaces the state by a copy and begins a new era, in which numbers are given out again.
func (s *fakeStore) restore(c storeCopy, hung bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inEra := func(entry kv.Entry) kv.Entry {
		revision := kv.NewRevision(s.revision.Era()+1, entry.Revision().Number())
		return kv.NewEntry(entry.Key(), entry.Value(), revision, entry.Deleted())
	}
	entries, log := map[string]kv.Entry{}, []kv.Entry{}
	for key, entry := range c.entries {
		entries[key] = inEra(entry)
	}
	for _, change := range c.log {
		log = append(log, inEra(change))
	}
	s.revision = kv.NewRevision(s.revision.Era()+1, c.revision.Number())
	s.entries, s.log, s.compacted, s.hung = entries, log, c.compacted, hung
	close(s.changed)
	s.changed = make(chan struct{})
}

// wasRestored reports whether a watch that began in an era fails because of a restore.
func (s *fakeStore) wasRestored(era uint64) (cut, hung bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restored := s.revision.Era() != era
	return restored && !s.hung, restored && s.hung
}

func (s *fakeStore) era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision.Era()
}

func (s *fakeStore) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerDelay
}

func (s *fakeStore) setAnswerDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answerDelay = delay
}
