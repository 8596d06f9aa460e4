package config

import (
	"sync"
	"sync/atomic"
)

// Store holds the document in force. Its zero value is ready to use and holds revision 0. It is safe for concurrent
// use.
type Store struct {
	current atomic.Pointer[Document]
	mu      sync.Mutex
	changed chan struct{}
}

// Current returns the document in force.
func (s *Store) Current() Document {
	if d := s.current.Load(); d != nil {
		return *d
	}
	return Document{}
}

// Changed returns a channel that is closed at the next change. Callers must call it before Current, so that they do not
// miss a change between the two calls.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// Offer puts a document in force if its revision is higher than the current one, and reports whether it did. A document
// of the same revision with a different digest replaces the current one if it was read in a later era: the key-value
// service then has lost the current one, and the operator has given its number to another. In the same era, such a
// document causes a ForkError and does not replace the current one. Other documents are ignored.
func (s *Store) Offer(d Document) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.Current()
	if d.revision < current.revision || d.revision == 0 {
		return false, nil
	}
	if d.revision == current.revision {
		switch {
		case d.digest == current.digest:
			if d.era > current.era {
				// A later era has the document, too. A change of its content in that era would be a fork.
				s.current.Store(&d)
			}
			return false, nil
		case d.era < current.era:
			return false, nil
		case d.era == current.era:
			return false, ForkError{Revision: d.revision, InForce: current.digest, Offered: d.digest}
		}
	}
	s.current.Store(&d)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return true, nil
}
