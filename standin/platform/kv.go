package platform

import (
	"cmp"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"radishhollow/standin"
)

const (
	// maxValue is the platform's limit of 1 MB for one value.
	maxValue = 1 << 20
	// maxWatch bounds the wait of one long poll.
	maxWatch = 60 * time.Second
)

// item is one key, in the form in which it is answered.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	lease    string
}

// current returns a key's revision, or 0 where it does not exist.
func (s *Server) current(key string) uint64 {
	if it, ok := s.items[key]; ok && !it.Deleted {
		return it.Revision
	}
	return 0
}

// write sets or deletes a key and wakes the watches.
func (s *Server) write(it item) uint64 {
	s.revision++
	it.Revision = s.revision
	s.items[it.Key] = &it
	s.notify()
	return it.Revision
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.PathValue("key")]
	s.mu.Unlock()
	if !ok || it.Deleted {
		standin.WriteError(w, http.StatusNotFound, "key-not-found")
		return
	}
	standin.WriteJSON(w, http.StatusOK, it)
}

func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Value      []byte  `json:"value"`
		IfRevision *uint64 `json:"if-revision"`
		Lease      string  `json:"lease"`
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	key := r.PathValue("key")
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.leases[body.Lease]
	switch {
	case body.IfRevision == nil || key == "":
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
	case len(body.Value) > maxValue:
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "value-too-large")
	case body.Lease != "" && (!ok || held.ended()):
		standin.WriteError(w, http.StatusNotFound, "lease-lost")
	case s.current(key) != *body.IfRevision:
		standin.WriteJSON(w, http.StatusConflict, map[string]uint64{"revision": s.current(key)})
	default:
		revision := s.write(item{Key: key, Value: body.Value, lease: body.Lease})
		standin.WriteJSON(w, http.StatusOK, map[string]uint64{"revision": revision})
	}
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	want, err := strconv.ParseUint(r.URL.Query().Get("if-revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch now := s.current(key); {
	case err != nil:
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
	case now == 0:
		standin.WriteError(w, http.StatusNotFound, "key-not-found")
	case now != want:
		standin.WriteJSON(w, http.StatusConflict, map[string]uint64{"revision": now})
	default:
		revision := s.write(item{Key: key, Deleted: true})
		standin.WriteJSON(w, http.StatusOK, map[string]uint64{"revision": revision})
	}
}

// list returns the items below a prefix with a revision above after, in the order of their revisions.
func (s *Server) list(prefix string, after uint64, deleted bool) []*item {
	found := []*item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && it.Revision > after && (deleted || !it.Deleted) {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b *item) int { return cmp.Compare(a.Revision, b.Revision) })
	return found
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, revision := s.list(r.URL.Query().Get("prefix"), 0, false), s.revision
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"items": found, "revision": revision})
}

// handleWatch waits for changes. Several changes of one key between two polls are answered as the last one.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || errWait != nil {
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		found, revision, changed := []*item{}, after, s.changed
		if !s.faults.FreezeState {
			found, revision = s.list(query.Get("prefix"), after, true), s.revision
		}
		s.mu.Unlock()
		if s.down() {
			standin.Cut()
		}
		if len(found) > 0 || expired {
			standin.WriteJSON(w, http.StatusOK, map[string]any{"items": found, "revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			expired = true
		case <-changed:
		}
	}
}
