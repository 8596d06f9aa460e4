// Package engine is a stand-in for a model engine. It speaks the wire format of the engine, models the timing of
// continuous batching and injects faults.
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

// Server is one engine. Exported fields must be set before Run.
type Server struct {
	Listen string
	Place  string
	// Platform is the address of the platform's weight store; if it is empty, weights are loaded without a fetch.
	Platform string
	// Models are the models loaded at the start.
	Models []Model
	// Seed and a counter of starts determine the first id of each generation.
	Seed uint64
	// Role is the initial role: "mixed", "prefill" or "decode".
	Role string

	// PrefillRate is in tokens per second.
	PrefillRate float64
	// TokenGap is the time between tokens of a single stream; each further stream in the batch adds TokenGapPerStream.
	TokenGap          time.Duration
	TokenGapPerStream time.Duration
	// Slots is the maximum number of running streams.
	Slots int
	// MaxWaiting is the maximum length of the wait queue; further requests are refused before running.
	MaxWaiting int
	// CacheBlocks is the capacity of the prefix cache in blocks of BlockTokens ids.
	CacheBlocks int
	// EventLossRate is the fraction of cache events that are not published.
	EventLossRate float64
	// EventLag is the delay until a cache event becomes visible to readers.
	EventLag time.Duration
	// ReportLag is the interval between two load reports.
	ReportLag time.Duration
	// DetachHold is the time for which a stream without connections continues.
	DetachHold time.Duration
	// LoadTime is the time to load a model or an adapter once its weights are fetched.
	LoadTime time.Duration
	// CheckFencingToken makes the engine refuse orders with an old fencing token.
	CheckFencingToken bool
	// MinNaturalLength and MaxNaturalLength bound the length in tokens at which an output stops by itself; with a
	// MaxNaturalLength of 0, outputs stop only at max_tokens.
	MinNaturalLength int
	MaxNaturalLength int
	// Ready, if set, is called with the bound address.
	Ready func(address string)

	incarnation string
	orders      *ring.Queue[orderBody]
	batchWake   chan struct{}
	cancel      context.CancelFunc

	// mu guards the fields below and the streams. Methods that use these without locking mu require the caller to hold it.
	mu              sync.Mutex
	streams         map[string]*stream
	waiting         []*stream
	running         []*stream
	cache           *cache
	models          []Model
	role            string
	loadsInProgress int
	leaving         bool
	maxFencingToken uint64
	startCount      uint64
	stats           Stats
	report          report
	slowFactor      float64
	stalledUntil    time.Time
	// frozen is closed when the engine is unfrozen; it is nil while the engine is not frozen.
	frozen              chan struct{}
	ignoreAttempt       bool
	remainingCrossed    int
	remainingDuplicates int
	remainingDrops      int
}

// New returns a Server with default values.
func New() *Server {
	return &Server{
		Listen:      "127.0.0.1:0",
		Role:        "mixed",
		PrefillRate: 8000,
		TokenGap:    20 * time.Millisecond,
		// With 16 streams, the gap is about twice that of a single stream.
		TokenGapPerStream: 1300 * time.Microsecond,
		Slots:             16,
		MaxWaiting:        256,
		CacheBlocks:       2048,
		EventLossRate:     0.02,
		EventLag:          200 * time.Millisecond,
		ReportLag:         200 * time.Millisecond,
		DetachHold:        10 * time.Second,
		LoadTime:          500 * time.Millisecond,
		MinNaturalLength:  16,
		MaxNaturalLength:  4096,
		incarnation:       uuid.NewString(),
		orders:            ring.New[orderBody](16),
		batchWake:         make(chan struct{}, 1),
		streams:           map[string]*stream{},
		slowFactor:        1,
	}
}

// Incarnation returns the id of this start of the engine.
func (s *Server) Incarnation() string { return s.incarnation }

// Run serves until ctx ends or the fault Die stops the engine.
func (s *Server) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancel = cancel
	s.cache = newCache(s.CacheBlocks, s.EventLossRate, s.Seed)
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
		s.removeStream(st)
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
	mux.Handle("/", s.withStateHeaders(engine))
	return mux
}

// withStateHeaders wraps a handler: it delays requests while the engine is frozen and sets Endpoint-Incarnation and
// Endpoint-State in every response.
func (s *Server) withStateHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.awaitUnfrozen(r.Context()) {
			standin.AbortConnection()
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
	case s.loadsInProgress > 0:
		return "loading"
	default:
		return "ready"
	}
}
