// Package service is a stand-in for a plain service runner. It counts the runs of each request and injects faults.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"radishhollow/standin"
)

// Server is one service runner. Exported fields must be set before Run.
type Server struct {
	Listen string
	Place  string
	// RunTime is the duration of each run.
	RunTime time.Duration
	// Slots is the maximum number of concurrent runs; further requests are refused before running.
	Slots int
	// Ready, if set, is called with the bound address.
	Ready func(address string)

	incarnation string
	stop        <-chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// runs counts the runs by Idempotency-Key and by Test-Id.
	runs map[string]int
	// refusedLeaving counts the calls refused because the runner was leaving.
	refusedLeaving int
	running        int
	leaving        bool
	faults         []Fault
}

// New returns a Server with default values.
func New() *Server {
	return &Server{
		Listen:      "127.0.0.1:0",
		RunTime:     5 * time.Millisecond,
		Slots:       64,
		incarnation: uuid.NewString(),
		runs:        map[string]int{},
	}
}

// Incarnation returns the id of this start of the runner.
func (s *Server) Incarnation() string { return s.incarnation }

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.stop = ctx.Done()
	return standin.Serve(ctx, s.Listen, s.handler(), s.Ready)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("GET /runs", s.handleRuns)
	mux.HandleFunc("GET /load", s.handleLoad)
	mux.HandleFunc("/", s.handleCall)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Endpoint-Incarnation", s.incarnation)
		w.Header().Set("Endpoint-State", s.stateName())
		mux.ServeHTTP(w, r)
	})
}

func (s *Server) stateName() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return "leaving"
	}
	return "ready"
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	state := s.stateName()
	s.mu.Lock()
	running := s.running
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{
		"incarnation": s.incarnation, "state": state, "place": s.Place, "running": running, "slots": s.Slots,
	})
}

func (s *Server) handleRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, map[string]any{"runs": s.runs, "refused-leaving": s.refusedLeaving})
}

// Runs returns the number of runs by Idempotency-Key and by Test-Id. It may be called after Run has returned.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	if s.stateName() == "leaving" {
		s.mu.Lock()
		s.refusedLeaving++
		s.mu.Unlock()
		standin.Refuse(w, http.StatusServiceUnavailable, "leaving")
		return
	}
	fault := s.nextFault()
	if fault.beforeRun(w, r, s.stop) {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The body is incomplete, so the request does not run.
		standin.AbortConnection()
	}
	if !s.acquire() {
		standin.Refuse(w, http.StatusTooManyRequests, "overloaded")
		return
	}
	defer s.release()
	key, runCount := s.countRun(r)
	if !standin.Sleep(s.stop, s.RunTime) {
		standin.AbortConnection()
	}
	if fault.afterRun(w, s.stop) {
		return
	}
	sum := sha256.Sum256(body)
	standin.WriteJSON(w, http.StatusOK, map[string]any{
		"method": r.Method, "path": r.URL.RequestURI(), "key": key, "run": runCount, "body-digest": hex.EncodeToString(sum[:]),
		"test-id": r.Header.Get("Test-Id"),
	})
}

func (s *Server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.Slots {
		return false
	}
	s.running++
	return true
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// countRun counts a run under the Idempotency-Key of the request and returns that key with its number of runs. If the
// request also has a Test-Id, the run is counted under it too, which tells apart requests with the same key. Without an
// Idempotency-Key, the Test-Id is the key. Runs without either header share the empty key.
func (s *Server) countRun(r *http.Request) (string, int) {
	key, id := r.Header.Get("Idempotency-Key"), r.Header.Get("Test-Id")
	if key == "" {
		key, id = id, ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if id != "" && id != key {
		s.runs[id]++
	}
	s.runs[key]++
	return key, s.runs[key]
}
