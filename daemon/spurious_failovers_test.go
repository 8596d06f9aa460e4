package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
	"radishhollow/io/telemetry"
)

// Guards against spurious failovers that are not counted or counted twice, and against counting failovers from frozen
// or restarted endpoints as spurious.
func TestSpuriousFailovers(t *testing.T) {
	for _, tt := range []struct {
		name        string
		reportDelay time.Duration
		incarnation string
		want        uint64
	}{
		{"alive", 10 * time.Millisecond, "i", 3},
		{"resumed too late", time.Second, "i", 0},
		{"restarted", 10 * time.Millisecond, "j", 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			reports := 0
			m := telemetry.New()
			s := &spuriousFailovers{metrics: m, pending: map[incarnationKey]int{}}
			s.load = func(ctx context.Context, _ string) (route.Report, error) {
				reports++
				select {
				case <-time.After(tt.reportDelay):
					return route.Report{Incarnation: tt.incarnation}, nil
				case <-ctx.Done():
					return route.Report{}, errors.Trace(ctx.Err())
				}
			}
			for range 3 {
				s.Add("a", "i")
			}
			require.NoError(t, s.Close())
			s.Add("a", "i")
			require.Equal(t, 1, reports)
			require.Equal(t, tt.want, m.Value(telemetry.SpuriousFailovers, "silence"), tt.name)
		})
	}
}
