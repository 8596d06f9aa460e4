package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an estimate below the usual duration, with which a stopping daemon would accept streams that it then
// cuts, and against one of another service.
func TestStreamDurations(t *testing.T) {
	var d streamDurations
	_, known := d.typical("s")
	require.False(t, known)
	d.record("other", time.Minute)
	for i := range 200 {
		d.record("s", 5*time.Second+time.Duration(i%5)*time.Second)
	}
	typical, known := d.typical("s")
	require.True(t, known)
	require.GreaterOrEqual(t, typical, 9*time.Second)
	require.LessOrEqual(t, typical, 11*time.Second)
}
