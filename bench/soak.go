package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"radishhollow/io/settings"
	"radishhollow/standin/engine"
	"radishhollow/standin/service"
)

// Sizes of the soak's deployment and load, which keep it under three cores.
const (
	soakEngines     = 5
	soakServices    = 3
	soakDaemons     = 4
	soakPlaces      = 4
	soakWorkspaces  = 4
	soakGenerators  = 16
	soakBookers     = 3
	soakGenerateFor = 40 * time.Second
	// maxSoakTries bounds the calls to a platform under faults, which last up to 1.3 s each.
	maxSoakTries  = 40
	soakBookFor   = 20 * time.Second
	soakSettleFor = 15 * time.Second
)

// Soak loads a deployment while faults of all kinds hit it, and checks every answer, booking and revision. Exported
// fields are set before Run. The seed fixes the faults' order and the requests; their interleaving varies.
type Soak struct {
	Seed    uint64
	Seconds float64

	fleet   *Fleet
	mu      sync.Mutex
	result  SoakResult
	daemons []*Daemon
	servers []*service.Server
	// accepted is the highest revision that an apply has returned.
	accepted uint64
	books    map[string]*bookRecord
}

// Violation is a broken promise.
type Violation struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// SoakResult is one run.
type SoakResult struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// Generations counts answers by their end: finished, the code of a typed error, or lost.
	Generations map[string]int `json:"generations"`
	Tokens      int            `json:"tokens"`
	// Resumes counts answers that went on at another daemon with their cursor.
	Resumes int `json:"resumes"`
	// Bookings counts answers by outcome, and no-answer.
	Bookings map[string]int `json:"bookings"`
	Replays  int            `json:"replays"`
	Faults   map[string]int `json:"faults"`
	Applied  int            `json:"applied"`
	// Longest is the longest wait between two events of a stream.
	Longest float64     `json:"longest-wait-s"`
	Violations  []Violation `json:"broken"`
}

// Run runs the soak. The result names every broken promise.
func (s *Soak) Run(ctx context.Context) (SoakResult, error) {
	s.result = SoakResult{
		Experiment: "soak", Seed: s.Seed, Seconds: s.Seconds, Generations: map[string]int{}, Bookings: map[string]int{},
		Faults: map[string]int{}, Violations: []Violation{},
	}
	s.books = map[string]*bookRecord{}
	s.fleet = &Fleet{
		Sheet: Sheet(1, soakPlaces, 1, soakWorkspaces), Engines: soakEngines, Services: soakServices, Daemons: soakDaemons,
		Engine: soakEngine,
		Service: func(_ int, server *service.Server) {
			server.Slots = 32
			s.servers = append(s.servers, server)
		},
		Settings: func(_ int, c *settings.Settings) {
			// Shorter than most answers, so that streams are cut and resume elsewhere.
			c.Timeouts.Drain.Duration = 200 * time.Millisecond
		},
	}
	if err := s.fleet.Start(ctx); err != nil {
		return s.result, err
	}
	s.daemons = slices.Clone(s.fleet.DaemonNodes())
	s.accepted = 1
	s.load(ctx)
	s.checkRevisions(ctx)
	err := s.fleet.Close()
	s.checkBookings()
	return s.result, err
}

func soakEngine(_ int, e *engine.Server) {
	e.TokenGap, e.TokenGapPerStream, e.MinNaturalLength, e.MaxNaturalLength = 8*time.Millisecond, 200*time.Microsecond, 16, 400
	e.DetachHold = 2 * time.Second
}

// load runs callers, operators and faults for the chosen time.
func (s *Soak) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Seconds*float64(time.Second)))
	defer cancel()
	var group sync.WaitGroup
	for i := range soakGenerators {
		group.Go(func() { s.runGenerator(ctx, i) })
	}
	for i := range soakBookers {
		group.Go(func() { s.runBooker(ctx, i) })
	}
	group.Go(func() { s.runFaults(ctx) })
	group.Go(func() { s.runRevisions(ctx) })
	group.Wait()
}

// random returns the source of one goroutine.
func (s *Soak) random(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, stream)) }

// daemon returns a live daemon other than the given address.
func (s *Soak) daemon(r *rand.Rand, except string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 8 {
		if address := s.daemons[r.IntN(len(s.daemons))].Address(); address != except {
			return address
		}
	}
	return s.daemons[0].Address()
}

func (s *Soak) breaks(promise, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Violations = append(s.result.Violations, Violation{promise, fmt.Sprintf(format, args...)})
}

func (s *Soak) record(note func(r *SoakResult)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	note(&s.result)
}
