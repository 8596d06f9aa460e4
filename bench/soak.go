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

// Sizes and timeouts of the soak test. They keep its CPU use below three cores.
const (
	soakEngines           = 5
	soakServices          = 3
	soakDaemons           = 4
	soakPlaces            = 4
	soakWorkspaces        = 4
	soakGenerationCallers = 16
	soakBookingCallers    = 3
	soakGenerationTimeout = 40 * time.Second
	// maxSoakTries bounds how often a call to the platform is tried under injected faults, which last up to 1.3 s each.
	maxSoakTries        = 40
	soakBookingTimeout  = 20 * time.Second
	soakRevisionTimeout = 15 * time.Second
)

// First sequence numbers of the random number generators, by kind of goroutine (see newRandom).
const (
	firstFaultSequence      = 1
	firstGenerationSequence = 100
	firstBookingSequence    = 200
)

// Soak loads a deployment while it injects faults into engines, service runners and the platform, replaces daemons by
// planned stops and applies new sheets. It checks generations, bookings and revisions. Exported fields must be set
// before Run, which may be called only once.
//
// The seed determines the sequence of bookings and, for each list of faults, their order, durations and targets, but
// not how they interleave, nor which daemon receives a booking or a sheet. The requests of a generation caller also
// depend on the number of tries of its earlier generations, because pickDaemon draws from the same random number
// generator.
type Soak struct {
	Seed    uint64
	Seconds float64

	fleet   *Fleet
	mu      sync.Mutex
	result  SoakResult
	daemons []*Daemon
	runners []*service.Server
	// acceptedRevision is the highest revision that an apply has returned.
	acceptedRevision uint64
	bookings         map[string]*bookingRecord
}

// Violation is a violation of an invariant. The soak test checks these invariants, none of which is numbered I6:
//   - I1 to I3: the tokens of a response are those of one generation, without missing, repeated or foreign ones. With
//     finish reason stop, missing tokens at the end are not detected.
//   - I4: outcome not-run is reported only for what did not run.
//   - I5: a booking runs at most once.
//   - I7: a daemon that is replaced stops without an error of daemon.Run. An expired drain timeout is no error.
//   - I8: revisions never decrease and reach every daemon.
//   - "bounded wait": a generation ends, including all its resumes, within soakGenerationTimeout (40 s).
//   - "equal replays": all responses to one key with outcome ran are equal.
//   - "truthful end": a stream that ends with data: [DONE] has a finish reason and no error.
//   - "truthful outcome": a booking with outcome ran did run.
//   - "typed errors": the error of a generation can be parsed. An error without a code and an event that cannot be
//     parsed count as a lost request instead. Errors of bookings are not checked.
//
// Invariant "bench" marks a failure of the soak test itself.
type Violation struct {
	Invariant string `json:"promise"`
	Detail    string `json:"detail"`
}

// SoakResult is the result of one run, printed as a JSON line unless Run returns an error.
type SoakResult struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Seconds    float64 `json:"seconds"`
	// Generations counts generations by their end: finished, lost or the code of a typed error.
	Generations map[string]int `json:"generations"`
	// Tokens is the number of tokens that callers received.
	Tokens int `json:"tokens"`
	// Resumes counts the times a generation was resumed at another daemon with its cursor.
	Resumes int `json:"resumes"`
	// Bookings counts booking requests by the outcome in the response, or no-answer without a response.
	Bookings map[string]int `json:"bookings"`
	// Replays counts the responses with outcome ran after the first one to the same key.
	Replays int `json:"replays"`
	// Faults counts the faults by name, including those whose injection failed, and Applied the sheets whose apply
	// succeeded.
	Faults  map[string]int `json:"faults"`
	Applied int            `json:"applied"`
	// LongestWait is the longest wait in seconds between two events of a stream. No invariant limits it.
	LongestWait float64     `json:"longest-wait-s"`
	Violations  []Violation `json:"broken"`
}

// Run executes the soak test. The result lists every violated invariant. If ctx ends before the revision of each daemon
// has been checked at the end of the load, each daemon not checked yet counts as a violation of I8. It is no violation
// if no generation finishes or no booking runs. Run also returns the first error of a daemon, even if the daemon has
// been replaced and the error is already a violation of I7.
func (s *Soak) Run(ctx context.Context) (SoakResult, error) {
	s.result = SoakResult{
		Experiment: "soak", Seed: s.Seed, Seconds: s.Seconds, Generations: map[string]int{}, Bookings: map[string]int{},
		Faults: map[string]int{}, Violations: []Violation{},
	}
	s.bookings = map[string]*bookingRecord{}
	s.fleet = &Fleet{
		Sheet: GenerateSheet(1, soakPlaces, 1, soakWorkspaces), Engines: soakEngines, Services: soakServices, Daemons: soakDaemons,
		Engine: adjustSoakEngine,
		Service: func(_ int, server *service.Server) {
			server.Slots = 32
			s.runners = append(s.runners, server)
		},
		Settings: func(_ int, c *settings.Settings) {
			// Shorter than most generations, so that a drain interrupts streams and they resume at another daemon.
			c.Timeouts.Drain.Duration = 200 * time.Millisecond
		},
	}
	if err := s.fleet.Start(ctx); err != nil {
		return s.result, err
	}
	s.daemons = slices.Clone(s.fleet.DaemonNodes())
	// The sheet that Start has applied is the first revision.
	s.acceptedRevision = 1
	s.load(ctx)
	s.awaitRevisions(ctx)
	err := s.fleet.Close()
	s.checkBookings()
	return s.result, err
}

func adjustSoakEngine(_ int, e *engine.Server) {
	e.TokenGap, e.TokenGapPerStream, e.MinNaturalLength, e.MaxNaturalLength = 8*time.Millisecond, 200*time.Microsecond, 16, 400
	e.DetachHold = 2 * time.Second
}

// load runs the callers, the fault injection and the revision checks for Soak.Seconds.
func (s *Soak) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(s.Seconds*float64(time.Second)))
	defer cancel()
	var group sync.WaitGroup
	for i := range soakGenerationCallers {
		group.Go(func() { s.runGenerations(ctx, i) })
	}
	for i := range soakBookingCallers {
		group.Go(func() { s.runBookings(ctx, i) })
	}
	group.Go(func() { s.runFaults(ctx) })
	group.Go(func() { s.runRevisionChecks(ctx) })
	group.Wait()
}

// newRandom returns the random number generator of one goroutine; sequence must be unique to the goroutine.
func (s *Soak) newRandom(sequence uint64) *rand.Rand { return rand.New(rand.NewPCG(s.Seed, sequence)) }

// pickDaemon returns the address of a random running daemon. It avoids the address except, but may return it if eight
// draws yield no other.
func (s *Soak) pickDaemon(random *rand.Rand, except string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 8 {
		if address := s.daemons[random.IntN(len(s.daemons))].Address(); address != except {
			return address
		}
	}
	return s.daemons[0].Address()
}

func (s *Soak) addViolation(invariant, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.result.Violations = append(s.result.Violations, Violation{invariant, fmt.Sprintf(format, args...)})
}

func (s *Soak) updateResult(update func(r *SoakResult)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	update(&s.result)
}
