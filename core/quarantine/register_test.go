package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/failure"
)

func newRegister() *Register {
	return &Register{Self: "a", Peers: func() []string { return nil }}
}

// Guards against a part that ends engine after engine and is never refused.
func TestPartWithThreeEndsIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister()
		bad, other := PartOf("bad"), PartOf("other")
		for _, endpoint := range []string{"e1", "e2", "e3"} {
			require.NoError(t, r.Admit([]Part{bad}))
			r.RecordEnd(endpoint, []Part{bad, other})
			r.RecordLived([]Part{other})
			time.Sleep(time.Second)
		}
		err := r.Admit([]Part{other, bad})
		var suspect SuspectError
		require.ErrorAs(t, err, &suspect)
		require.Equal(t, []Part{bad}, suspect.Parts)
		require.Equal(t, failure.NotRun, failure.Of(err).Outcome())
		require.Equal(t, "suspect-request", failure.Of(err).Code())
		require.Equal(t, firstHold-time.Second, suspect.RetryAfter())
		require.NoError(t, r.Admit([]Part{other}))
	})
}
