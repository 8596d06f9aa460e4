package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storePageSize is the number of items of one page of a list.
const storePageSize = 400

// storeItem is one key of the store as it is encoded in calls.
type storeItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create_revision,omitempty"`
	Lease          uint64 `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// storeLease is a lease with its end.
type storeLease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's key-value store. It is sound all the time.
type store struct {
	address string
	server  *http.Server

	// mu guards the fields below.
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	leases   map[uint64]*storeLease
	changed  chan struct{}
}

func startStore(ctx context.Context) (*store, error) {
	s := &store{revision: 1, items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.transact)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go s.run(listener)
	go s.loop(ctx)
	return s, nil
}

func (s *store) run(listener net.Listener) { _ = s.server.Serve(listener) }

// loop ends the leases whose time has passed.
func (s *store) loop(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.expire(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (s *store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, lease := range s.leases {
		if now.After(lease.end) {
			s.dropLease(id)
		}
	}
}

// dropLease removes a lease and its keys. The caller must hold mu.
func (s *store) dropLease(id uint64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.removeItem(key)
		}
	}
}

// Put writes a key, as the operator and the runners do.
func (s *store) Put(key string, value any) {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putItem(storeItem{Key: key, Value: text})
}

// Remove removes a key.
func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeItem(key)
}

// putItem writes an item. The caller must hold mu.
func (s *store) putItem(item storeItem) {
	s.revision++
	item.Revision, item.CreateRevision = s.revision, s.revision
	if old, found := s.items[item.Key]; found {
		item.CreateRevision = old.CreateRevision
	}
	s.items[item.Key] = item
	s.record(item)
}

// removeItem removes a key. The caller must hold mu.
func (s *store) removeItem(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	s.revision++
	delete(s.items, key)
	s.record(storeItem{Key: key, Revision: s.revision, Deleted: true})
}

// record adds a change to the history and wakes up the watches. The caller must hold mu.
func (s *store) record(item storeItem) {
	s.history = append(s.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[r.URL.Query().Get("key")]
	if !found {
		answerJSON(w, http.StatusNotFound, map[string]any{"current_rev": s.revision})
		return
	}
	answerJSON(w, http.StatusOK, item)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	entries := []storeItem{}
	for _, key := range keys[:min(len(keys), storePageSize)] {
		entries = append(entries, s.items[key])
	}
	answerJSON(w, http.StatusOK, map[string]any{
		"entries": entries, "has_more": len(keys) > storePageSize, "current_rev": s.revision,
	})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for last := false; ; {
		events, current, changed := s.changesAfter(query.Get("prefix"), after)
		if len(events) > 0 || last {
			answerJSON(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) changesAfter(prefix string, after uint64) (events []storeItem, current uint64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []storeItem{}
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events, s.revision, s.changed
}

// transaction is the body of a call that changes keys.
type transaction struct {
	Expected []storeItem `json:"expected_rev"`
	Put      []storeItem `json:"put"`
	Remove   []string    `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body transaction
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, want := range body.Expected {
		if current := s.items[want.Key]; current.Revision != want.Revision {
			current.Key = want.Key
			answerJSON(w, http.StatusPreconditionFailed, map[string]any{"entries": []storeItem{current}})
			return
		}
	}
	for _, item := range body.Put {
		if _, found := s.leases[item.Lease]; item.Lease != 0 && !found {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, item := range body.Put {
		s.putItem(item)
	}
	for _, key := range body.Remove {
		s.removeItem(key)
	}
	answerJSON(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(max(body.TTL, 1000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.leases[s.revision] = &storeLease{ttl: ttl, end: time.Now().Add(ttl)}
	answerJSON(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease, found := s.leases[id]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.end = time.Now().Add(lease.ttl)
	answerJSON(w, http.StatusOK, map[string]any{"ttl_ms": lease.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLease(id)
	answerJSON(w, http.StatusOK, map[string]any{})
}

// answerJSON writes an answer of the platform, all of which name the era.
func answerJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
