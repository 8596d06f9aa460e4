// Package engine is a stand-in of a model engine: its wire format, a time model of continuous batching and faults.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"radishhollow/core/ring"
	"radishhollow/standin"
)

// Server is one engine. Exported fields are set before Run.
type Server struct {
	Listen string
	Place  string
	// Platform is the address of the platform's weight store; where empty, weights load without a fetch.
	Platform string
	// Models are loaded at the start.
	Models []Model
	// Seed and a counter draw the first id of each generation.
	Seed uint64
	Role string

	// PrefillRate is in tokens per second.
	PrefillRate float64
	// TokenGap is the time between tokens of a lone stream; each further stream in the batch adds GapPerStream.
	TokenGap          time.Duration
	TokenGapPerStream time.Duration
	Slots        int
	// MaxWaiting bounds the wait queue; above it requests are refused before running.
	MaxWaiting  int
	CacheBlocks int
	// EventLoss is the fraction of cache events that are never published.
	EventLoss  float64
	EventLag   time.Duration
	ReportLag  time.Duration
	DetachHold time.Duration
	// LoadTime is the time to load a model or an adapter after its weights were fetched.
	LoadTime time.Duration
	// CheckFencingToken refuses orders with an old fencing token.
	CheckFencingToken bool
	// MinNaturalLength and StopLongest bound the natural length of an output; a StopLongest of 0 turns it off.
	MinNaturalLength int
	MaxNaturalLength  int
	// Ready gets the bound address.
	Ready func(address string)

	incarnation string
	orders      *ring.Queue[orderBody]
	wake        chan struct{}
	cancel      context.CancelFunc

	mu           sync.Mutex
	streams      map[string]*stream
	waiting      []*stream
	running      []*stream
	cache        *cache
	models       []Model
	role         string
	loading      int
	leaving      bool
	fence        uint64
	starts       uint64
	stats        Stats
	report       report
	slowFactor   float64
	stalledUntil time.Time
	// frozen is closed at the wake after a freeze; nil while the engine is not frozen.
	frozen        chan struct{}
	ignoreAttempt bool
	crossed       int
	duplicated    int
	dropped       int
}

// New returns a Server with defaults.
func New() *Server {
	return &Server{
		Listen:      "127.0.0.1:0",
		Role:        "mixed",
		PrefillRate: 8000,
		TokenGap:         20 * time.Millisecond,
		// With 16 streams the gap doubles.
		TokenGapPerStream: 1300 * time.Microsecond,
		Slots:        16,
		MaxWaiting:   256,
		CacheBlocks:  2048,
		EventLoss:    0.02,
		EventLag:     200 * time.Millisecond,
		ReportLag:    200 * time.Millisecond,
		DetachHold:   10 * time.Second,
		LoadTime:     500 * time.Millisecond,
		MinNaturalLength: 16,
		MaxNaturalLength:  4096,
		incarnation:  uuid.NewString(),
		orders:       ring.New[orderBody](16),
		wake:         make(chan struct{}, 1),
		streams:      map[string]*stream{},
		slowFactor:   1,
	}
}

// Incarnation returns the id of this run of the engine.
func (s *Server) Incarnation() string { return s.incarnation }

// Run serves until ctx ends or the engine is told to die.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancel = cancel
	s.cache = newCache(s.CacheBlocks, s.EventLoss, s.Seed)
	s.models = append([]Model(nil), s.Models...)
	s.role = s.Role
	s.publishReport()
	s.mu.Unlock()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.runBatch, s.runReports, s.runOrders} {
		loops.Go(func() { loop(ctx) })
	}
	err := standin.Serve(ctx, s.Listen, s.handler(), s.Ready)
	cancel()
	loops.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.streams {
		s.remove(st)
	}
	return err
}

func (s *Server) handler() http.Handler {
	engine := http.NewServeMux()
	engine.HandleFunc("POST /tokenize", s.handleTokenize)
	engine.HandleFunc("POST /v1/completions", s.handleCompletion)
	engine.HandleFunc("GET /v1/streams/{generation}", s.handleAttach)
	engine.HandleFunc("DELETE /v1/streams/{generation}", s.handleCancel)
	engine.HandleFunc("GET /v1/load", s.handleLoad)
	engine.HandleFunc("GET /v1/cache-events", s.handleCacheEvents)
	engine.HandleFunc("POST /v1/orders", s.handleOrder)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.handleFaults)
	mux.HandleFunc("GET /stats", s.handleStats)
	mux.Handle("/", s.withState(engine))
	return mux
}

// withState holds requests back while the engine is frozen and adds the headers that every response carries.
func (s *Server) withState(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.awaitWake(r.Context()) {
			standin.Cut()
		}
		s.mu.Lock()
		state := s.stateName()
		s.mu.Unlock()
		w.Header().Set("Endpoint-Incarnation", s.incarnation)
		w.Header().Set("Endpoint-State", state)
		next.ServeHTTP(w, r)
	})
}

func (s *Server) stateName() string {
	switch {
	case s.leaving:
		return "leaving"
	case s.loading > 0:
		return "loading"
	default:
		return "ready"
	}
}
