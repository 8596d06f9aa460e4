package platform

import (
	"net/http"
	"slices"
	"time"

	"radishhollow/standin"
)

// listing is the instance list from a time on.
type listing struct {
	from      time.Time
	sequence  uint64
	instances []standin.Instance
}

// visible returns the newest list that is at least InstanceLag old.
func (s *Server) visible() listing {
	limit := time.Now().Add(-s.InstanceLag)
	if s.faults.FreezeState && s.frozenAt.Before(limit) {
		limit = s.frozenAt
	}
	i := len(s.instances) - 1
	for i >= 0 && s.instances[i].from.After(limit) {
		i--
	}
	if i < 0 {
		return listing{instances: []standin.Instance{}}
	}
	if !s.faults.FreezeState {
		s.instances = s.instances[i:]
		i = 0
	}
	return s.instances[i]
}

// newest returns a copy of the rows that do not have the given address.
func (s *Server) newest(except string) []standin.Instance {
	if len(s.instances) == 0 {
		return []standin.Instance{}
	}
	rows := slices.Clone(s.instances[len(s.instances)-1].instances)
	return slices.DeleteFunc(rows, func(row standin.Instance) bool { return row.Address == except })
}

func (s *Server) setInstances(rows []standin.Instance) {
	s.sequence++
	s.instances = append(s.instances, listing{from: time.Now(), sequence: s.sequence, instances: rows})
}

func (s *Server) handleInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	seen := s.visible()
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"sequence": seen.sequence, "instances": seen.instances})
}

func (s *Server) handlePutInstance(w http.ResponseWriter, r *http.Request) {
	var row standin.Instance
	if !standin.ReadJSON(w, r, &row) {
		return
	}
	if row.Address == "" || row.Kind == "" {
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstances(append(s.newest(row.Address), row))
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDeleteInstance(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setInstances(s.newest(r.URL.Query().Get("address")))
	w.WriteHeader(http.StatusNoContent)
}
