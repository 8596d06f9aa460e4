package bench

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/service"
)

// Guards against a violation of any invariant under mixed faults: the reported end of each generation, booking and
// revision must match what happened. The test runs one fixed seed.
func TestSoak(t *testing.T) {
	soak := Soak{Seed: 7, Seconds: 8}
	result, err := soak.Run(t.Context())
	require.NoError(t, err)
	require.Empty(t, result.Violations)
	require.Positive(t, result.Generations["finished"])
	require.Positive(t, result.Replays)
	require.Positive(t, result.Resumes)
}

// Guards against a soak test that passes because its checks detect no violations. Covers equal replays, truthful
// outcome, I1 to I3, truthful end, and I4 for generations; the other checks are not covered.
func TestSoakDetectsViolations(t *testing.T) {
	for _, test := range []struct {
		name      string
		outcomes  []string
		bodies    []string
		invariant string
	}{
		{"replay differs", []string{"ran", "ran"}, []string{"a", "b"}, "equal replays"},
		{"reported as ran without a run", []string{"ran"}, []string{"a"}, "truthful outcome"},
	} {
		s := &Soak{bookings: map[string]*bookingRecord{}, runners: []*service.Server{service.New()}}
		s.result.Bookings = map[string]int{}
		for i, outcome := range test.outcomes {
			s.recordBooking("key", outcome, test.bodies[i])
		}
		s.checkBookings()
		require.NotEmpty(t, s.result.Violations, test.name)
		require.Equal(t, test.invariant, s.result.Violations[0].Invariant, test.name)
	}
	s := &Soak{}
	s.checkGeneration(Generation{Spec: "m@1", Prompt: []uint32{1}, Tokens: []uint32{1 << 24, 5}}, 9, nil)
	s.checkGeneration(Generation{Done: true}, 9, nil)
	s.checkGeneration(Generation{Code: "x", Outcome: "not-run", Status: 200, Tokens: []uint32{1 << 24}}, 9, nil)
	require.Len(t, s.result.Violations, 3)
}
