package platform

import (
	"maps"
	"net/http"
	"strconv"
	"time"
)

// eraHeader is the header with the era of the key-value service.
const eraHeader = "Era"

// stateCopy is a copy of the key-value service. Its zero value is that of an empty one.
type stateCopy struct {
	revision   uint64
	items      map[string]*item
	leaseTTLs  map[string]time.Duration
	leaseCount int
}

// handleCopy copies the key-value service, without the instance list.
func (s *Server) handleCopy(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy = stateCopy{
		revision: s.revision, items: maps.Clone(s.items), leaseTTLs: map[string]time.Duration{}, leaseCount: s.leaseCount,
	}
	for id, l := range s.leases {
		s.copy.leaseTTLs[id] = l.ttl
	}
	w.WriteHeader(http.StatusNoContent)
}

// handleRestore replaces the key-value service by the last copy, whose leases start again, and begins a new era.
func (s *Server) handleRestore(w http.ResponseWriter, _ *http.Request) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.era++
	s.revision, s.leaseCount = s.copy.revision, s.copy.leaseCount
	s.items, s.leases = map[string]*item{}, map[string]*lease{}
	maps.Copy(s.items, s.copy.items)
	for id, ttl := range s.copy.leaseTTLs {
		s.startLease(id, ttl)
	}
	s.notifyWatches()
	w.WriteHeader(http.StatusNoContent)
}

// setEra sets the header with the era of the key-value service.
func (s *Server) setEra(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
}
