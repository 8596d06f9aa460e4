package generation_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"radishhollow/core/generation"
)

// Guards against a token that is missing, repeated or altered under any mix of chunk sizes, losses, duplicates and
// overlaps.
func TestDeliveredEqualsReference(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.IntRange(1, 60).Draw(rt, "total")
		losses := rapid.IntRange(0, 8).Draw(rt, "losses")
		synctest.Test(t, func(t *testing.T) {
			f := &fixture{endpoints: []string{"a", "b", "c"}}
			f.open = func(_ string, start generation.Start) ([]step, error) {
				faulty := losses > 0
				losses--
				return randomSteps(rt, start, total, faulty), nil
			}
			d := f.driver(total)
			// Several freezes in a row would exceed the wait bound, which another test covers.
			d.WaitBound = time.Hour
			require.NoError(t, d.Run(t.Context()))
			require.Equal(t, referenceTokens(total), f.got)
			require.Equal(t, textOf(referenceTokens(total)), f.text)
			require.NotEqual(t, generation.NotFinished, f.finish)
		})
	})
}

// randomSteps splits the rest of the reference tokens into random chunks. If faulty, some chunks start at an earlier
// offset and the stream ends early.
func randomSteps(rt *rapid.T, start generation.Start, total int, faulty bool) []step {
	var steps []step
	at := start.Offset
	for at < total {
		from := at
		if faulty && rapid.IntRange(0, 3).Draw(rt, "overlap") == 0 {
			from = rapid.IntRange(0, at).Draw(rt, "from")
		}
		to := rapid.IntRange(at, total).Draw(rt, "to")
		if to > from {
			steps = append(steps, step{chunk: referenceChunk(start.Attempt, from, to, total)})
		}
		at = to
		if faulty && rapid.IntRange(0, 5).Draw(rt, "fault") == 0 {
			return append(steps, randomFault(rt, start.Attempt, at, total)...)
		}
	}
	if faulty {
		// Drop the finish chunk.
		steps = steps[:len(steps)-1]
	}
	return steps
}

func randomFault(rt *rapid.T, attempt, at, total int) []step {
	switch rapid.SampledFrom([]string{"broken connection", "freeze", "gap", "crossed"}).Draw(rt, "kind") {
	case "freeze":
		return []step{{hang: true}}
	case "gap":
		if at+2 <= total {
			return []step{{chunk: referenceChunk(attempt, at+1, at+2, total)}}
		}
	case "crossed":
		return []step{{chunk: referenceChunk(attempt-1, 0, total, total)}}
	}
	return []step{{err: io.ErrUnexpectedEOF}}
}
