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
	// maxValueBytes is the platform's limit for one value, 1 MB.
	maxValueBytes = 1 << 20
	kindWatch     = "watch"
	// maxWatchWait is the longest duration of one long poll.
	maxWatchWait = 60 * time.Second
)

// item is one key and its value, encoded as in responses.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
	lease    string
}

// currentRevision returns the revision of a key, or 0 if the key does not exist.
func (s *Server) currentRevision(key string) uint64 {
	if it, ok := s.items[key]; ok && !it.Deleted {
		return it.Revision
	}
	return 0
}

// writeItem sets or deletes a key under the next revision and wakes the pending watches.
func (s *Server) writeItem(it item) uint64 {
	s.revision++
	it.Revision = s.revision
	s.items[it.Key] = &it
	s.notifyWatches()
	return it.Revision
}

func (s *Server) notifyWatches() {
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
	l, ok := s.leases[body.Lease]
	switch {
	case body.IfRevision == nil || key == "":
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
	case len(body.Value) > maxValueBytes:
		standin.WriteError(w, http.StatusRequestEntityTooLarge, "value-too-large")
	case body.Lease != "" && (!ok || l.expired()):
		standin.WriteError(w, http.StatusNotFound, "lease-lost")
	case s.currentRevision(key) != *body.IfRevision:
		standin.WriteJSON(w, http.StatusConflict, map[string]uint64{"revision": s.currentRevision(key)})
	default:
		revision := s.writeItem(item{Key: key, Value: body.Value, lease: body.Lease})
		standin.WriteJSON(w, http.StatusOK, map[string]uint64{"revision": revision})
	}
}

func (s *Server) handleDelete(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	ifRevision, err := strconv.ParseUint(r.URL.Query().Get("if-revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch current := s.currentRevision(key); {
	case err != nil:
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
	case current == 0:
		standin.WriteError(w, http.StatusNotFound, "key-not-found")
	case current != ifRevision:
		standin.WriteJSON(w, http.StatusConflict, map[string]uint64{"revision": current})
	default:
		revision := s.writeItem(item{Key: key, Deleted: true})
		standin.WriteJSON(w, http.StatusOK, map[string]uint64{"revision": revision})
	}
}

// itemsAfter returns the items under a prefix with a revision above after, in the order of their revisions.
func (s *Server) itemsAfter(prefix string, after uint64, includeDeleted bool) []*item {
	items := []*item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && it.Revision > after && (includeDeleted || !it.Deleted) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b *item) int { return cmp.Compare(a.Revision, b.Revision) })
	return items
}

func (s *Server) handleList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items, revision := s.itemsAfter(r.URL.Query().Get("prefix"), 0, false), s.revision
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"items": items, "revision": revision})
}

// handleWatch waits for changes under a prefix. It reports only the last of several changes of one key between two
// polls.
func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || errWait != nil {
		standin.WriteError(w, http.StatusBadRequest, "malformed-request")
		return
	}
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		items, revision, changed := []*item{}, after, s.changed
		if !s.faults.FreezeState {
			items, revision = s.itemsAfter(query.Get("prefix"), after, true), s.revision
		}
		// A restored store does not have the revisions that were given out after the copy.
		gone := after > s.revision
		w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
		s.mu.Unlock()
		if s.isDown() {
			standin.AbortConnection()
		}
		if gone {
			standin.WriteError(w, http.StatusGone, "revision-unknown")
			return
		}
		if len(items) > 0 || timedOut {
			standin.WriteJSON(w, http.StatusOK, map[string]any{"items": items, "revision": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timer.C:
			timedOut = true
		case <-changed:
		}
	}
}
