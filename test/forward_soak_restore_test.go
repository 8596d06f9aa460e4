package test

import (
	"fmt"
	"testing"
	"time"
)

// maxSoakCopies bounds the copies of the store. A fault follows the one before after 0.2 to 0.7 s, so the oldest copy is
// some seconds old.
const maxSoakCopies = 12

// injectNext injects a fault, or restores the store in a soak with restores.
func (s *soak) injectNext() (name string, restore func()) {
	if !s.restores {
		return s.injectFault()
	}
	s.copies = append(s.copies, s.store.Copy())
	s.copies = s.copies[max(0, len(s.copies)-maxSoakCopies):]
	if s.random.IntN(4) > 0 {
		return s.injectFault()
	}
	depth := s.random.IntN(len(s.copies))
	s.store.Restore(s.copies[depth])
	return fmt.Sprintf("store-restored by %d of %d copies", len(s.copies)-depth, len(s.copies)), s.rewrite
}

// rewrite writes again what the operator and the endpoints have written, as they do after the store has come back.
func (s *soak) rewrite() {
	s.putConfig()
	for _, e := range s.endpoints {
		if _, known := s.store.Item("servers/" + e.server.ID); !known {
			s.register(e, "ready")
		}
	}
}

// Guards against the violated guarantees of TestForwardSoak while the store also comes back from older copies.
func TestForwardSoakWithARestoredStore(t *testing.T) {
	for n := range *soakSeeds {
		seed := *soakFirstSeed + uint64(n)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			s := newSoak(t, seed)
			s.restores = true
			s.run(time.Duration(*soakSeconds) * time.Second)
		})
	}
}
