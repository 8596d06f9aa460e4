package quarantine

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
)

var bad, other, third = PartOf("bad"), PartOf("other"), PartOf("third")

func newRegister(self string, peers ...string) *Register {
	return &Register{Self: self, Peers: func() []string { return peers }}
}

// recordEnds records ends of different engines, one a second.
func recordEnds(r *Register, n int, parts ...Part) {
	for range n {
		time.Sleep(time.Second)
		r.RecordEnd(fmt.Sprint("engine at ", time.Now().UnixNano()), parts)
	}
}

func requireSuspect(t *testing.T, r *Register, parts ...Part) SuspectError {
	t.Helper()
	var suspect SuspectError
	require.ErrorAs(t, r.Admit(parts), &suspect)
	return suspect
}

// Guards against a part that ends engine after engine and is never refused, and against an error that does not tell the
// caller that the request did not run and when it may come back.
func TestPartWithThreeEndsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a")
		for range 3 {
			require.NoError(t, r.Admit([]Part{other, bad}))
			recordEnds(r, 1, bad, other)
			r.RecordLived([]Part{other})
		}
		time.Sleep(time.Second)
		suspect := requireSuspect(t, r, other, bad)
		require.Equal(t, []Part{bad}, suspect.Parts)
		require.Equal(t, failure.NotRun, failure.Of(suspect).Outcome())
		require.Equal(t, "suspect-request", failure.Of(suspect).Code())
		require.Equal(t, firstHold-time.Second, suspect.RetryAfter())
		require.NoError(t, r.Admit([]Part{other}))
		require.NoError(t, r.Admit(nil))
	})
}

// Guards against a sound request that is refused for good because the first report on some ends shows a sound part alone
// on their engines: the reports of other daemons, with the part that ended them, come a little later.
func TestNewGroupIsUnsettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, peer := newRegister("a", "b"), newRegister("b", "a")
		for i := range 3 {
			time.Sleep(time.Second)
			r.RecordEnd(fmt.Sprint("engine ", i), []Part{other})
			peer.RecordEnd(fmt.Sprint("engine ", i), []Part{bad})
		}
		suspect := requireSuspect(t, r, other)
		require.True(t, suspect.Unsettled)
		require.Equal(t, settleTime, suspect.RetryAfter())
		r.Merge(peer.Evidence(8, 8))
		require.NoError(t, r.Admit([]Part{other}))
		require.True(t, requireSuspect(t, r, bad, other).Unsettled)
		time.Sleep(settleTime)
		require.False(t, requireSuspect(t, r, bad, other).Unsettled)
	})
}

// Guards against verdicts that the evidence does not support, and against missing ones. Each line of a history is an end
// ("!engine parts") or a life ("+parts") at a time in milliseconds.
func TestVerdict(t *testing.T) {
	tests := []struct {
		name    string
		history string
		want    []string
	}{
		{name: "two ends are too few", history: "0 !a x\n1000 !b x"},
		{name: "three ends", history: "0 !a x\n1000 !b x\n2000 !c x", want: []string{"x"}},
		{name: "ends of one moment are an outage", history: "0 !a x\n10 !b x\n20 !c x\n30 !d x\n40 !e x\n50 !f x"},
		{name: "two bursts", history: "0 !a x\n10 !b x\n20 !c x\n1200 !d x\n1210 !e x\n1220 !f x", want: []string{"x"}},
		{name: "reports of several daemons are one end", history: "0 !a x\n500 !a x\n1900 !a x\n1950 !a x"},
		{name: "the engine returns under its name", history: "0 !a x\n3000 !a x\n6000 !a x", want: []string{"x"}},
		{name: "reports of several daemons are united", history: "0 !a y\n50 !a x\n1000 !b x\n2000 !c x", want: []string{"x"}},
		{name: "a life after the ends", history: "0 !a x\n1000 !b x\n2000 !c x\n2500 +x"},
		{name: "a life between the ends", history: "0 !a x\n1000 !b x\n1500 +x\n2000 !c x\n3000 !d x"},
		{name: "a life before the ends", history: "0 +x\n1 !a x\n1000 !b x\n2000 !c x", want: []string{"x"}},
		{
			name:    "parts of one request cannot be told apart",
			history: "0 !a x y\n1200 !b x y\n2400 !c x y", want: []string{"x y"},
		},
		{name: "a life separates them", history: "0 !a x y\n1200 !b x y\n2400 !c x y\n2500 +y", want: []string{"x"}},
		{name: "an end separates them", history: "0 !a x y\n1200 !b x y\n2400 !c x y\n4000 !d x", want: []string{"x"}},
		{
			name:    "parts that were on the same engines are explained",
			history: "0 !a x y\n1000 !b x y\n2000 !c x y\n3000 !d x\n4000 !e x", want: []string{"x"},
		},
		{
			name:    "two parts",
			history: "0 !a x\n600 !b y\n1200 !c x\n1800 !d y\n2400 !e x\n3000 !f y\n3600 !g x\n4200 !h y",
			want:    []string{"x", "y"},
		},
		{
			name: "ends beside others are outages",
			history: "0 !a x\n10 !b y\n20 !c\n6500 !d x\n6510 !e z\n6520 !f\n13000 !g x\n13010 !h\n13020 !i\n" +
				"19500 !j x\n19510 !k\n19520 !l",
		},
		{
			name: "two parts that were always on the same engines are told apart by number",
			history: "0 !a x y\n1000 !b x y\n2000 !c x y\n3000 !d x y\n4000 !e x y\n" +
				"5000 !f y\n6000 !g y\n7000 !h y",
			want: []string{"x", "y"},
		},
		{
			name:    "a common part does not hide two parts",
			history: "0 !a x w\n400 !b y w\n800 !c x w\n1000 +w\n1200 !d y w\n1600 !e x w\n2000 !f y w",
			want:    []string{"x", "y"},
		},
		{
			name:    "a companion with a further end in an outage is in the group",
			history: "0 !a x y\n1200 !b x y\n2400 !c x y\n5000 !d y\n5010 !e\n5020 !f\n5030 !g", want: []string{"x y"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRegister("a")
				play(t, r, tt.history)
				require.ElementsMatch(t, tt.want, groupNames(r))
			})
		})
	}
}

// play records a history of TestVerdict. Parts have names of one letter.
func play(t *testing.T, r *Register, history string) {
	start := time.Now()
	for line := range strings.SplitSeq(history, "\n") {
		if line == "" {
			continue
		}
		fields := strings.Fields(line)
		var ms int
		_, err := fmt.Sscan(fields[0], &ms)
		require.NoError(t, err)
		time.Sleep(time.Until(start.Add(time.Duration(ms) * time.Millisecond)))
		var parts []Part
		for _, name := range append([]string{strings.TrimPrefix(fields[1], "+")}, fields[2:]...) {
			if len(name) == 1 {
				parts = append(parts, Part(name[0]))
			}
		}
		if engine, ended := strings.CutPrefix(fields[1], "!"); ended {
			r.RecordEnd(engine, parts)
		} else {
			r.RecordLived(parts)
		}
	}
}

func groupNames(r *Register) []string {
	var names []string
	for _, g := range r.groups {
		var letters []string
		for _, p := range g.parts {
			letters = append(letters, string(rune(p)))
		}
		names = append(names, strings.Join(letters, " "))
	}
	return names
}

// Guards against sound requests that are refused because they share a part with a request that ended engines.
func TestOnlyRequestsWithTheWholeGroupAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a")
		recordEnds(r, 3, bad, other)
		require.Equal(t, sortedParts([]Part{bad, other}), requireSuspect(t, r, third, other, bad).Parts)
		require.NoError(t, r.Admit([]Part{bad, third}))
		require.NoError(t, r.Admit([]Part{other, third}))
	})
}

// Guards against a part that stays refused after its ends have expired.
func TestEvidenceExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a", "owner that never tries", "b", "c", "d")
		recordEnds(r, 3, bad)
		require.Equal(t, 1, r.Quarantined())
		time.Sleep(evidenceExpiry + time.Second)
		require.Zero(t, r.Quarantined())
		require.NoError(t, r.Admit([]Part{bad}))
		require.Empty(t, r.ends.list)
		require.Empty(t, r.ends.byPart)
		require.Empty(t, r.ends.byEndpoint)
	})
}

// Guards against a change that nobody is told of, and against a callback that deadlocks because it is called with the
// lock held.
func TestChangesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a")
		var changes []Change
		pushes := 0
		r.OnChange = func(c Change) {
			require.Equal(t, c.Quarantined, r.Quarantined() > 0)
			changes = append(changes, c)
		}
		r.OnEvidence = func() {
			require.NotEmpty(t, r.Evidence(8, 8))
			pushes++
		}
		recordEnds(r, 3, bad)
		r.RecordEnd("without parts", nil)
		r.RecordLived([]Part{other})
		require.Equal(t, 3, pushes, "ends without parts and lives of other parts are no news")
		r.RecordLived([]Part{bad})
		require.Equal(t, 4, pushes)
		require.Equal(t, []Change{
			{Parts: []Part{bad}, Quarantined: true, Ends: 3}, {Parts: []Part{bad}, Ends: 3},
		}, changes)
	})
}
