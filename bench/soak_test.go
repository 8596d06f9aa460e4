package bench

import (
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/service"
)

// Guards all invariants under mixed faults: the end state of each answer, booking and revision must be truthful.
func TestSoak(t *testing.T) {
	soak := Soak{Seed: 7, Seconds: 8}
	result, err := soak.Run(t.Context())
	require.NoError(t, err)
	require.Empty(t, result.Violations)
	require.Positive(t, result.Generations["finished"])
	require.Positive(t, result.Replays)
	require.Positive(t, result.Resumes)
}

// Guards against a soak that passes because its checks see nothing.
func TestSoakNoticesBrokenPromises(t *testing.T) {
	for _, test := range []struct {
		name     string
		outcomes []string
		bodies   []string
		broken   string
	}{
		{"replay differs", []string{"ran", "ran"}, []string{"a", "b"}, "equal replays"},
		{"ran and did not", []string{"ran"}, []string{"a"}, "truthful outcome"},
	} {
		s := &Soak{books: map[string]*bookRecord{}, servers: []*service.Server{service.New()}}
		s.result.Bookings = map[string]int{}
		for i, outcome := range test.outcomes {
			s.note("key", outcome, test.bodies[i])
		}
		s.checkBookings()
		require.NotEmpty(t, s.result.Violations, test.name)
		require.Equal(t, test.broken, s.result.Violations[0].Promise, test.name)
	}
	s := &Soak{}
	s.checkAnswer(Generation{Spec: "m@1", Prompt: []uint32{1}, Tokens: []uint32{1 << 24, 5}}, 9, nil)
	s.checkAnswer(Generation{Done: true}, 9, nil)
	s.checkAnswer(Generation{Code: "x", Outcome: "not-run", Status: 200, Tokens: []uint32{1 << 24}}, 9, nil)
	require.Len(t, s.result.Violations, 3)
}
