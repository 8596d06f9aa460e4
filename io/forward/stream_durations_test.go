package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an estimate below the duration of some streams, with which a stopping daemon would accept streams that it
// then cuts, against one that a single long stream spoils for good, and against one of another service.
func TestStreamDurations(t *testing.T) {
	var d streamDurations
	_, known := d.longest("s")
	require.False(t, known)
	d.record("other", time.Minute)
	d.record("s", 6*time.Second)
	for range 40 {
		d.record("s", 2*time.Second)
	}
	longest, known := d.longest("s")
	require.True(t, known)
	require.GreaterOrEqual(t, longest, 5*time.Second, "one stream of 41 takes 6 s")
	require.LessOrEqual(t, longest, 6*time.Second)
	for range 4000 {
		d.record("s", 2*time.Second)
	}
	longest, _ = d.longest("s")
	require.Less(t, longest, 3*time.Second)
}
