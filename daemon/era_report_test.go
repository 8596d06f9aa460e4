package daemon

import (
	"testing"
	"testing/synctest"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/io/keyvalue"
	"radishhollow/io/telemetry"
)

// Guards against a request that was refused or sent to a wrong endpoint after a return of the store, without a line that
// tells what the daemon has kept, held back and dropped.
func TestNewErasAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := departedList(true)
		changeTo(l, readyAs("c", kv.NewRevision(1, 96)))
		changeTo(l, registeredAs("d", kv.NewRevision(1, 97), 3, "draining"))
		log, lines := test.NewNullLogger()
		l.log = log
		l.apply([]kv.Entry{registeredAs("a", kv.NewRevision(2, 10), 5, "ready"), registeredAs("b", kv.NewRevision(2, 11), 5, "ready")}, kv.NewRevision(2, 60), true)
		fields := lines.LastEntry().Data
		require.Equal(t, "endpoint list of a new era", lines.LastEntry().Message)
		require.Equal(t, "1/97", fields["before"])
		require.Equal(t, "2/60", fields["revision"])
		require.Equal(t, "store", fields["source"])
		require.Equal(t, []string{"b"}, fields["held-back"])
		require.Equal(t, []string{"c"}, fields["kept"])
		require.Equal(t, []string{"d"}, fields["dropped"])
		for class, count := range map[string]uint64{"kept": 1, "held-back": 1, "dropped": 1} {
			require.Equal(t, count, l.metrics.Value(telemetry.RestoredEndpoints, class), class)
		}
		require.EqualValues(t, 1, l.metrics.Value(telemetry.Eras, "endpoints"))
		l.apply([]kv.Entry{registeredAs("a", kv.NewRevision(2, 10), 5, "ready")}, kv.NewRevision(2, 61), true)
		require.EqualValues(t, 1, l.metrics.Value(telemetry.Eras, "endpoints"), "an era is reported once")
	})
}

// Guards against a new era of the store that leaves no trace at the daemon whose call saw it first.
func TestErasOfTheStoreAreReported(t *testing.T) {
	log, lines := test.NewNullLogger()
	m := telemetry.New()
	client := &keyvalue.Client{}
	reportEras(client, m, log)
	client.Eras.Observe(1)
	require.Empty(t, lines.AllEntries())
	client.Eras.Observe(2)
	client.Eras.Observe(2)
	require.Len(t, lines.AllEntries(), 1)
	require.EqualValues(t, 1, lines.LastEntry().Data["before"])
	require.EqualValues(t, 2, lines.LastEntry().Data["after"])
	require.EqualValues(t, 1, m.Value(telemetry.Eras, "store"))
}
