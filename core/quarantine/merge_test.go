package quarantine

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against an old end that arrives from a peer after the part was cleared, and against a peer that never learns of
// the clearance.
func TestLateEndIsAnsweredWithTheClearance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended, cleared := newRegister("a", "b"), newRegister("b", "a")
		recordEnds(ended, 3, bad)
		time.Sleep(time.Second)
		cleared.RecordLived([]Part{bad})
		require.Empty(t, cleared.Evidence(8, 8).Clearances, "a life of an unsuspected part is not sent")
		time.Sleep(clearanceSendAge)
		pushes := 0
		cleared.OnEvidence = func() { pushes++ }
		cleared.Merge(ended.Evidence(8, 8))
		require.Equal(t, 1, pushes)
		require.Zero(t, cleared.Quarantined())
		require.Equal(t, 1, ended.Quarantined())
		ended.Merge(cleared.Evidence(8, 8))
		require.Zero(t, ended.Quarantined())
		time.Sleep(2 * clearanceSendAge)
		require.Empty(t, cleared.Evidence(8, 8).Clearances)
	})
}

// Guards against ends that never expire because daemons that send them to each other renew their times.
func TestMergedEndsKeepTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, start := newRegister("a", "b"), newRegister("b", "a"), time.Now()
		recordEnds(a, 3, bad)
		for a.Quarantined()+b.Quarantined() > 0 {
			message := a.Evidence(8, 8)
			time.Sleep(time.Second) // a slow message makes the ends look later
			b.Merge(message)
			a.Merge(b.Evidence(8, 8))
			require.LessOrEqual(t, len(a.ends.list), 3)
			require.LessOrEqual(t, len(b.ends.list), 3)
			require.Less(t, time.Since(start), evidenceExpiry+10*time.Second)
		}
	})
}

// Guards against evidence that fills the memory, blocks parts with impossible ages, or counts one moment as many.
func TestMalformedEvidenceIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a")
		time.Sleep(time.Hour)
		ends := func(age time.Duration) Evidence {
			var e Evidence
			for i := range 1000 {
				e.Ends = append(e.Ends, End{Endpoint: fmt.Sprint(i), Parts: []Part{bad}, Age: age})
				e.Clearances = append(e.Clearances, Clearance{Part: other, Age: age})
			}
			return e
		}
		r.Merge(ends(-time.Second))
		r.Merge(ends(evidenceExpiry + 1))
		r.Merge(Evidence{Ends: []End{{Endpoint: strings.Repeat("x", maxEndpointLength+1), Parts: []Part{bad}}}})
		r.Merge(Evidence{Ends: []End{{Endpoint: "no parts"}}})
		require.Empty(t, r.ends.list)
		require.Empty(t, r.clearances.cleared)
		r.Merge(ends(time.Second))
		require.Zero(t, r.Quarantined())
		require.Len(t, r.ends.list, maxEnds)
		var flood Evidence
		for i := range 3 * maxEnds {
			many := make([]Part, 10*maxParts)
			for j := range many {
				many[j] = Part(i*len(many) + j)
			}
			flood.Ends = append(flood.Ends, End{Endpoint: fmt.Sprint("flood", i), Parts: many, Age: time.Duration(i)})
		}
		for i := range 3 * maxCleared {
			flood.Clearances = append(flood.Clearances, Clearance{Part: Part(1e9 + i), Age: time.Duration(i)})
			r.RecordLived([]Part{Part(2e9 + i)})
		}
		r.Merge(flood)
		requireBounds(t, r)
	})
}

func requireBounds(t require.TestingT, r *Register) {
	require.LessOrEqual(t, len(r.ends.list), maxEnds)
	require.LessOrEqual(t, len(r.clearances.cleared), maxCleared)
	require.LessOrEqual(t, len(r.clearances.lived[0])+len(r.clearances.lived[1]), maxLived)
	links, endpoints := 0, 0
	for _, list := range r.ends.byPart {
		links += len(list)
	}
	for _, list := range r.ends.byEndpoint {
		endpoints += len(list)
	}
	for i, e := range r.ends.list {
		require.LessOrEqual(t, len(e.parts), maxParts)
		require.False(t, i > 0 && e.at.Before(r.ends.list[i-1].at), "ends are in the order of their times")
		links -= len(e.parts)
	}
	require.Zero(t, links, "the index by parts has exactly the parts of the ends")
	require.Equal(t, len(r.ends.list), endpoints)
}

// Guards against an end whose culprit is left out because it had too many parts: common parts, which are cleared all the
// time, are left out first.
func TestCommonPartsAreLeftOutOfLargeEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a")
		var parts []Part
		for i := range 2 * maxParts {
			parts = append(parts, Part(i))
		}
		r.RecordLived(parts)
		time.Sleep(time.Second)
		r.RecordEnd("engine", append(parts, bad))
		require.Len(t, r.ends.list[0].parts, maxParts)
		require.Contains(t, r.ends.list[0].parts, bad)
	})
}

// Guards against a message that is filled with ends of one part, or with ends that tell peers nothing.
func TestEvidenceSendsSuspectsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a", "b")
		recordEnds(r, 20, bad)
		recordEnds(r, 5)
		recordEnds(r, 2, third)
		for i := range 50 {
			recordEnds(r, 1, Part(i))
			r.RecordEnd(fmt.Sprint("without parts ", i), nil)
		}
		peer := newRegister("b", "a")
		e := r.Evidence(16, 16)
		require.Len(t, e.Ends, 16)
		for _, end := range e.Ends {
			require.NotEmpty(t, end.Parts)
		}
		peer.Merge(e)
		require.Equal(t, 1, peer.Quarantined())
		require.Equal(t, r.groups[0].lastEnd, peer.groups[0].lastEnd)
		require.Equal(t, r.ends.list[len(r.ends.list)-2].endpoint, peer.ends.list[len(peer.ends.list)-1].endpoint)
		require.Empty(t, r.Evidence(0, 0).Ends)
	})
}

// Guards against daemons that disagree after they have exchanged all evidence, whatever the order in which it was recorded
// and merged, and against indexes that differ from the ends.
func TestRegistersAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			list := []*Register{newRegister("a", "b", "c"), newRegister("b", "a", "c"), newRegister("c", "a", "b")}
			steps := rapid.IntRange(1, 40).Draw(rt, "steps")
			for range steps {
				time.Sleep(time.Duration(rapid.IntRange(1, 2000).Draw(rt, "pause")) * time.Millisecond / 8)
				r := rapid.SampledFrom(list).Draw(rt, "daemon")
				parts := rapid.SliceOfN(rapid.Map(rapid.IntRange(1, 4), func(i int) Part { return Part(i) }), 1, 3).Draw(rt, "parts")
				switch rapid.IntRange(0, 4).Draw(rt, "kind") {
				case 0, 1:
					r.RecordEnd(fmt.Sprint("engine at ", time.Now().UnixNano()), parts)
				case 2:
					r.RecordLived(parts)
				case 3:
					r.Merge(rapid.SampledFrom(list).Draw(rt, "peer").Evidence(4, 4))
				case 4:
					_ = r.Admit(parts)
				}
				requireBounds(rt, r)
			}
			for range 3 {
				for _, r := range list {
					for _, peer := range list {
						r.Merge(peer.Evidence(maxEnds, maxCleared))
					}
				}
			}
			for _, r := range list[1:] {
				require.Equal(rt, evidenceOf(list[0]), evidenceOf(r))
			}
		})
	})
}

// evidenceOf returns what a register holds against each part.
func evidenceOf(r *Register) map[Part][]string {
	evidence := map[Part][]string{}
	for _, e := range r.ends.list {
		for _, p := range e.parts {
			evidence[p] = append(evidence[p], e.endpoint)
		}
	}
	return evidence
}

// Guards against a peer's message that panics, or breaks the bounds or the indexes.
func FuzzMerge(f *testing.F) {
	f.Add([]byte("\x01\x00\x00\x02\x01\x02\x03\x00\x00\x01"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := newRegister("a")
		for len(data) >= 4 {
			kind, age := data[0], time.Duration(int16(binary.BigEndian.Uint16(data[1:3])))*100*time.Millisecond
			n := min(int(data[3])%16, len(data)-4)
			var parts []Part
			for _, b := range data[4 : 4+n] {
				parts = append(parts, Part(b))
			}
			data = data[4+n:]
			switch kind % 4 {
			case 0, 1:
				r.Merge(Evidence{Ends: []End{{Endpoint: fmt.Sprint(kind), Parts: parts, Age: age}}})
			case 2:
				for _, p := range parts {
					r.Merge(Evidence{Clearances: []Clearance{{Part: p, Age: age}}})
				}
			case 3:
				_ = r.Admit(parts)
			}
			requireBounds(t, r)
		}
	})
}
