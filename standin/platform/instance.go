package platform

import (
	"net/http"
	"slices"
	"strconv"
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

// maxLog bounds the changes that are kept for reads of changes only.
const maxLog = 10_000

// listChange is one change of the list: the new row of an address, or none where it was removed.
type listChange struct {
	sequence uint64
	address  string
	row      *standin.Instance
}

// setInstances makes rows the newest list. Row is the one of the address that has changed, or nil where it is gone.
func (s *Server) setInstances(rows []standin.Instance, address string, row *standin.Instance) {
	s.sequence++
	s.instances = append(s.instances, listing{from: time.Now(), sequence: s.sequence, instances: rows})
	s.log = append(s.log, listChange{s.sequence, address, row})
	s.log = s.log[max(0, len(s.log)-maxLog):]
}

// changes returns the changes after a sequence up to a visible one, or false where the log does not hold them all.
func (s *Server) changes(history, after string, visible uint64) (rows []standin.Instance, removed []string, ok bool) {
	from, err := strconv.ParseUint(after, 10, 64)
	if err != nil || history != s.history || from > visible || (from < visible && s.firstLogged() > from+1) {
		return nil, nil, false
	}
	last := map[string]listChange{}
	for _, change := range s.log {
		if change.sequence > from && change.sequence <= visible {
			last[change.address] = change
		}
	}
	rows, removed = []standin.Instance{}, []string{}
	for address, change := range last {
		if change.row == nil {
			removed = append(removed, address)
		} else {
			rows = append(rows, *change.row)
		}
	}
	return rows, removed, true
}

func (s *Server) firstLogged() uint64 {
	if len(s.log) == 0 {
		return s.sequence + 1
	}
	return s.log[0].sequence
}

// handleInstances answers the whole list, or the changes where the query names what the reader has.
func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	seen := s.visible()
	rows, removed, ok := s.changes(query.Get("history"), query.Get("after"), seen.sequence)
	history := s.history
	s.mu.Unlock()
	body := map[string]any{"sequence": seen.sequence, "history": history, "instances": seen.instances}
	if ok {
		body["instances"], body["removed"], body["changes-only"] = rows, removed, true
	}
	standin.WriteJSON(w, http.StatusOK, body)
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
	s.setInstances(append(s.newest(row.Address), row), row.Address, &row)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDeleteInstance(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := r.URL.Query().Get("address")
	s.setInstances(s.newest(address), address, nil)
	w.WriteHeader(http.StatusNoContent)
}
