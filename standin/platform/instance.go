package platform

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"radishhollow/standin"
)

// listSnapshot is the content of the instance list since a point in time.
type listSnapshot struct {
	since     time.Time
	sequence  uint64
	instances []standin.Instance
}

// visibleSnapshot returns the newest snapshot that is at least InstanceLag old and, while the state is frozen, not
// newer than the freeze. It drops older snapshots unless the state is frozen.
func (s *Server) visibleSnapshot() listSnapshot {
	cutoff := time.Now().Add(-s.InstanceLag)
	if s.faults.FreezeState && s.frozenAt.Before(cutoff) {
		cutoff = s.frozenAt
	}
	i := len(s.snapshots) - 1
	for i >= 0 && s.snapshots[i].since.After(cutoff) {
		i--
	}
	if i < 0 {
		return listSnapshot{instances: []standin.Instance{}}
	}
	if !s.faults.FreezeState {
		s.snapshots = s.snapshots[i:]
		i = 0
	}
	return s.snapshots[i]
}

// newestRowsExcept returns a copy of the newest rows without the row of the given address.
func (s *Server) newestRowsExcept(address string) []standin.Instance {
	if len(s.snapshots) == 0 {
		return []standin.Instance{}
	}
	rows := slices.Clone(s.snapshots[len(s.snapshots)-1].instances)
	return slices.DeleteFunc(rows, func(row standin.Instance) bool { return row.Address == address })
}

// maxLogEntries bounds the change log, which serves the readers that ask only for changes.
const maxLogEntries = 10_000

// listChange is one change of the instance list: the new row of an address, or nil if the row was removed.
type listChange struct {
	sequence uint64
	address  string
	row      *standin.Instance
}

// setInstances makes rows the newest snapshot and logs the change: the new row of address, or nil if it was removed.
func (s *Server) setInstances(rows []standin.Instance, address string, row *standin.Instance) {
	s.sequence++
	s.snapshots = append(s.snapshots, listSnapshot{since: time.Now(), sequence: s.sequence, instances: rows})
	s.changeLog = append(s.changeLog, listChange{s.sequence, address, row})
	s.changeLog = s.changeLog[max(0, len(s.changeLog)-maxLogEntries):]
}

// changesSince returns the changes with sequence numbers above after and up to visible, merged into one per address. It
// returns false if after is malformed, beyond visible or from another history, or if the log no longer holds all of
// these changes.
func (s *Server) changesSince(history, after string, visible uint64) (rows []standin.Instance, removed []string, ok bool) {
	since, err := strconv.ParseUint(after, 10, 64)
	if err != nil || history != s.history || since > visible || (since < visible && s.firstLoggedSequence() > since+1) {
		return nil, nil, false
	}
	latest := map[string]listChange{}
	for _, change := range s.changeLog {
		if change.sequence > since && change.sequence <= visible {
			latest[change.address] = change
		}
	}
	rows, removed = []standin.Instance{}, []string{}
	for address, change := range latest {
		if change.row == nil {
			removed = append(removed, address)
		} else {
			rows = append(rows, *change.row)
		}
	}
	return rows, removed, true
}

func (s *Server) firstLoggedSequence() uint64 {
	if len(s.changeLog) == 0 {
		return s.sequence + 1
	}
	return s.changeLog[0].sequence
}

// handleInstances responds with the whole list, or only with the changes since the history and sequence in the query.
func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	snapshot := s.visibleSnapshot()
	rows, removed, ok := s.changesSince(query.Get("history"), query.Get("after"), snapshot.sequence)
	history := s.history
	s.mu.Unlock()
	body := map[string]any{"sequence": snapshot.sequence, "history": history, "instances": snapshot.instances}
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
	s.setInstances(append(s.newestRowsExcept(row.Address), row), row.Address, &row)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleDeleteInstance(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := r.URL.Query().Get("address")
	s.setInstances(s.newestRowsExcept(address), address, nil)
	w.WriteHeader(http.StatusNoContent)
}
