package telemetry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/io/telemetry"
)

// Guards against daemons of one process mixing their figures.
func TestSetsAreSeparate(t *testing.T) {
	a, b := telemetry.New(), telemetry.New()
	a.Count(telemetry.Requests, "ok")
	a.Observe(telemetry.TokenGap, "north", time.Second)
	require.EqualValues(t, 1, a.Value(telemetry.Requests, "ok"))
	require.Zero(t, b.Value(telemetry.Requests, "ok"))

	var out strings.Builder
	a.Write(&out)
	require.Contains(t, out.String(), `radishhollow_token_gap_seconds_count{workspace="north"} 1`)
}
