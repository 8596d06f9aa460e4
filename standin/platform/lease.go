package platform

import (
	"net/http"
	"strconv"
	"time"

	"radishhollow/standin"
)

// lease has a time to live; keys attached to it are deleted when it ends.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	timer    *time.Timer
}

func (l *lease) expired() bool { return !time.Now().Before(l.deadline) }

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int `json:"ttl-ms"`
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	if body.TTLMS <= 0 {
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
		return
	}
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseCount++
	id := "lease-" + strconv.Itoa(s.leaseCount)
	s.startLease(id, ttl)
	standin.WriteJSON(w, http.StatusOK, map[string]string{"lease": id})
}

// startLease adds a lease, or restarts the time to live of one that a copy brings back.
func (s *Server) startLease(id string, ttl time.Duration) {
	s.leases[id] = &lease{ttl: ttl, deadline: time.Now().Add(ttl), timer: time.AfterFunc(ttl, func() { s.expireLease(id) })}
}

func (s *Server) handleRenew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[r.PathValue("id")]
	if !ok || l.expired() {
		standin.WriteError(w, http.StatusNotFound, "lease-lost")
		return
	}
	l.deadline = time.Now().Add(l.ttl)
	l.timer.Reset(l.ttl)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleRevoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.PathValue("id")
	if _, ok := s.leases[id]; !ok {
		standin.WriteError(w, http.StatusNotFound, "lease-lost")
		return
	}
	s.endLease(id)
	w.WriteHeader(http.StatusNoContent)
}

// expireLease ends a lease unless it was renewed in the meantime.
func (s *Server) expireLease(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.leases[id]; ok && l.expired() {
		s.endLease(id)
	}
}

// endLease removes a lease and deletes the keys attached to it.
func (s *Server) endLease(id string) {
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	for key, it := range s.items {
		if it.lease == id && !it.Deleted {
			s.writeItem(item{Key: key, Deleted: true})
		}
	}
}
