// Package platform is a stand-in for the platform of daemons with interface "own": a key-value service with leases and
// watches, an instance list and a weight store. It counts calls and injects faults.
package platform

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"radishhollow/standin"
)

// Server is the platform. Exported fields must be set before Run.
type Server struct {
	Listen string
	// InstanceLag is the delay until a change of the instance list becomes visible.
	InstanceLag time.Duration
	// Instances is the initial instance list, visible at once.
	Instances []standin.Instance
	// WeightLoadsPerMinute is the rate limit of the weight store, with a burst of WeightBurst loads.
	WeightLoadsPerMinute float64
	WeightBurst          int
	// ReadsPerSecond and WritesPerSecond are the rate limits of the key-value service; above them it responds with 429.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// Ready, if set, is called with the bound address.
	Ready func(address string)

	stop          <-chan struct{}
	weightLimiter *rate.Limiter
	readLimiter   *rate.Limiter
	writeLimiter  *rate.Limiter

	// restoring is locked while a copy is restored. It is locked before mu.
	restoring sync.RWMutex
	// mu guards the fields below. Methods that use these without locking mu require the caller to hold it.
	mu       sync.Mutex
	revision uint64
	// items includes deleted keys, so that watches report the deletions.
	items  map[string]*item
	leases map[string]*lease
	// leaseCount is the number in the last lease ID. A restored copy gives out later numbers again.
	leaseCount int
	// era is the number of copies restored so far, plus one, and copy the copy to restore.
	era  uint64
	copy stateCopy
	// changed is closed and replaced at each change of a key or of the faults.
	changed   chan struct{}
	snapshots []listSnapshot
	sequence  uint64
	// history identifies this start of the platform. Sequence numbers of the list are comparable only within one history.
	history string
	// changeLog holds the latest changes of the list, at most maxLogEntries.
	changeLog  []listChange
	faults     Faults
	frozenAt   time.Time
	callCounts map[string]int
}

// New returns a Server with default values.
func New() *Server {
	return &Server{
		Listen:               "127.0.0.1:0",
		InstanceLag:          time.Second,
		WeightLoadsPerMinute: 60,
		WeightBurst:          4,
		ReadsPerSecond:       2000,
		WritesPerSecond:      500,
		items:                map[string]*item{},
		leases:               map[string]*lease{},
		changed:              make(chan struct{}),
		era:                  1,
		callCounts:           map[string]int{},
	}
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.stop = ctx.Done()
	s.weightLimiter = rate.NewLimiter(rate.Limit(s.WeightLoadsPerMinute/60), s.WeightBurst)
	// The burst is the number of calls in one second.
	s.readLimiter = rate.NewLimiter(rate.Limit(s.ReadsPerSecond), int(s.ReadsPerSecond))
	s.writeLimiter = rate.NewLimiter(rate.Limit(s.WritesPerSecond), int(s.WritesPerSecond))
	s.mu.Lock()
	if s.history = uuid.NewString(); len(s.Instances) > 0 {
		s.sequence = 1
		s.snapshots = []listSnapshot{{sequence: 1, instances: s.Instances}}
	}
	s.mu.Unlock()
	err := standin.Serve(ctx, s.Listen, s.handler(), s.Ready)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern, kind string, limit *rate.Limiter, write bool, handler http.HandlerFunc) {
		mux.Handle(pattern, s.withFaults(kind, limit, write, handler))
	}
	handle("GET /kv", "list", s.readLimiter, false, s.handleList)
	handle("GET /kv/{key...}", "get", s.readLimiter, false, s.handleGet)
	handle("PUT /kv/{key...}", "put", s.writeLimiter, true, s.handlePut)
	handle("DELETE /kv/{key...}", "delete", s.writeLimiter, true, s.handleDelete)
	handle("GET /watch", kindWatch, s.readLimiter, false, s.handleWatch)
	handle("POST /leases", "grant", s.writeLimiter, true, s.handleGrant)
	handle("POST /leases/{id}/renew", "renew", s.writeLimiter, true, s.handleRenew)
	handle("DELETE /leases/{id}", "revoke", s.writeLimiter, true, s.handleRevoke)
	handle("GET /instances", "instances", nil, false, s.handleInstances)
	handle("PUT /instances", "put-instance", nil, true, s.handlePutInstance)
	handle("DELETE /instances", "delete-instance", nil, true, s.handleDeleteInstance)
	handle("GET /weights/{model}/{version}", "weights", nil, false, s.handleWeights)
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("POST /copy", s.handleCopy)
	mux.HandleFunc("POST /restore", s.handleRestore)
	mux.HandleFunc("GET /calls", s.handleCalls)
	return mux
}

func (s *Server) handleCalls(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	calls := maps.Clone(s.callCounts)
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, calls)
}

func (s *Server) handleWeights(w http.ResponseWriter, r *http.Request) {
	if !s.weightLimiter.Allow() {
		s.mu.Lock()
		s.callCounts["weights-refused"]++
		s.mu.Unlock()
		standin.WriteError(w, http.StatusTooManyRequests, "rate-limited")
		return
	}
	_, _ = w.Write([]byte(r.PathValue("model") + "@" + r.PathValue("version")))
}
