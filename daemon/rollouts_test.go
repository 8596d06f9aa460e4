package daemon

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"radishhollow/core/config"
	"radishhollow/core/evidence"
	"radishhollow/core/kv"
	"radishhollow/core/member"
	"radishhollow/core/rollout"
	"radishhollow/core/route"
	"radishhollow/io/forward"
	"radishhollow/io/peer"
	"radishhollow/io/settings"
	"radishhollow/io/telemetry"
	"radishhollow/platform"
)

// rolloutFixture is the wiring of a daemon's roll-outs with a store that holds one key.
type rolloutFixture struct {
	*rollouts

	node  *peer.Node
	log   bytes.Buffer
	value []byte
	// revision is that of the key; zero if there is none. err is the error of all calls, if set.
	revision kv.Revision
	err      error
}

func newRolloutFixture(t *testing.T) *rolloutFixture {
	t.Helper()
	f := &rolloutFixture{node: &peer.Node{Table: &member.Table{Self: "10.0.0.1:1"}}}
	store := kv.Store{
		Get: func(_ context.Context, key string) (kv.Entry, error) {
			if f.err == nil && f.revision.IsZero() {
				return kv.Entry{}, kv.NotFoundError{Key: key}
			}
			return kv.NewEntry(key, f.value, f.revision, false), f.err
		},
		Put: func(_ context.Context, key string, value []byte, ifRevision kv.Revision, _ kv.Lease) (kv.Revision, error) {
			if f.err == nil && ifRevision != f.revision {
				return kv.Revision{}, kv.ConflictError{Key: key, Want: ifRevision, Current: f.revision}
			}
			if f.err == nil {
				f.value, f.revision = value, kv.NewRevision(1, f.revision.Number()+1)
			}
			return f.revision, f.err
		},
	}
	documents := &config.Store{}
	_, err := documents.Offer(config.NewDocument(1, config.Fields{Services: []config.Service{{Name: "s"}}}))
	require.NoError(t, err)
	table := route.New("d", route.Policy{ListIsCurrent: true, MaxMarks: 16})
	for i, version := range []string{"v1", "v2"} {
		listing := route.Listing{
			Address: fmt.Sprintf("10.0.1.1:%d", i+1), Incarnation: version, Kind: route.KindService, Name: "s", Version: version, Slots: 4,
		}
		list, _ := table.Listings()
		table.Sync(append(list, listing))
	}
	log := logrus.New()
	log.SetOutput(&f.log)
	s := settings.Defaults()
	s.Forward.Rollouts = settings.Rollouts{ExposureShare: 0.1, ExposureSlack: 50, RollbackBound: settings.Duration{Duration: 5 * time.Second}}
	f.rollouts = newRollouts(
		s, Identity{address: "10.0.0.1:1"}, store, documents, &Drain{}, f.node.Table, table, &peer.Exchanger{Node: f.node}, telemetry.New(), log,
	)
	return f
}

func orderEntry(target string, revision uint64) kv.Entry {
	value := fmt.Sprintf(`{"service":"s","target":%q,"duration_s":10}`, target)
	return kv.NewEntry("op/rollout/s", []byte(value), kv.NewRevision(1, revision), false)
}

// Guards against calls of the store and fields in views where the settings do not turn roll-outs on.
func TestRolloutsAreOffByDefault(t *testing.T) {
	node, table := &peer.Node{}, route.New("d", route.Policy{})
	r := newRollouts(settings.Defaults(), Identity{}, kv.Store{}, nil, nil, nil, table, &peer.Exchanger{Node: node}, nil, nil)
	require.Nil(t, r)
	require.Nil(t, node.Rollouts)
	require.Nil(t, node.MergeRollouts)
	require.Nil(t, table.Rollouts)
	require.Empty(t, r.components())
	r.applyOrders([]kv.Entry{orderEntry("v2", 3)}, kv.NewRevision(1, 3), true)
	r.evaluate()
	server := &forward.Server{}
	r.restrict(server, nil)
	require.Nil(t, server.RecordRequest)
}

// Guards against orders that are lost or applied to the wrong service, and against a revision that endpoints wait for in vain.
func TestOrdersAreApplied(t *testing.T) {
	f := newRolloutFixture(t)
	require.Empty(t, f.node.Rollouts())
	f.applyOrders([]kv.Entry{kv.NewEntry("op/config", []byte("{}"), kv.NewRevision(1, 2), false), orderEntry("v2", 3)}, kv.NewRevision(1, 4), true)
	states := f.node.Rollouts()
	require.Len(t, states, 1)
	require.Equal(t, rollout.Observing, states[0].Phase)
	require.Equal(t, kv.NewRevision(1, 3), states[0].Revision)
	require.Equal(t, kv.NewRevision(1, 4), f.readRevision())
	require.Contains(t, f.log.String(), "roll-out has entered a phase")
	require.EqualValues(t, 1, f.metrics.Value(telemetry.Rollouts, "observing"))
}

// Guards against a malformed order that ends the one in force, or that is counted again with each full read.
func TestMalformedOrderHasNoEffect(t *testing.T) {
	f := newRolloutFixture(t)
	f.applyOrders([]kv.Entry{orderEntry("v2", 3)}, kv.NewRevision(1, 3), true)
	malformed := kv.NewEntry("op/rollout/s", []byte(`{"service":"s","target":"v3","duration_s":-1}`), kv.NewRevision(1, 5), false)
	for range 3 {
		f.applyOrders([]kv.Entry{malformed}, kv.NewRevision(1, 5), true)
	}
	require.EqualValues(t, 1, f.metrics.Value(telemetry.RolloutOrders, "malformed"))
	require.Contains(t, f.log.String(), "duration_s")
	states := f.node.Rollouts()
	require.Equal(t, "v2", states[0].Target)
	require.Equal(t, rollout.Observing, states[0].Phase)
	f.applyOrders(nil, kv.NewRevision(1, 6), true)
	require.Empty(t, f.malformed)
}

// Guards against a withdrawn order that stays in force, and against the end of a roll-out because the store has forgotten its
// order or a read is older than the order.
func TestWithdrawnOrders(t *testing.T) {
	for name, test := range map[string]struct {
		entries  []kv.Entry
		revision kv.Revision
		full     bool
		phase    rollout.Phase
	}{
		"deleted":                    {[]kv.Entry{kv.NewEntry("op/rollout/s", nil, kv.NewRevision(1, 9), true)}, kv.NewRevision(1, 9), false, rollout.RolledBack},
		"missing in a full read":     {nil, kv.NewRevision(1, 9), true, rollout.RolledBack},
		"no change":                  {nil, kv.NewRevision(1, 9), false, rollout.Observing},
		"missing in an older read":   {nil, kv.NewRevision(1, 2), true, rollout.Observing},
		"missing in a later era":     {nil, kv.NewRevision(2, 9), true, rollout.Observing},
		"another service is deleted": {[]kv.Entry{kv.NewEntry("op/rollout/t", nil, kv.NewRevision(1, 9), true)}, kv.NewRevision(1, 9), false, rollout.Observing},
	} {
		t.Run(name, func(t *testing.T) {
			f := newRolloutFixture(t)
			f.applyOrders([]kv.Entry{orderEntry("v2", 3)}, kv.NewRevision(1, 3), true)
			f.applyOrders(test.entries, test.revision, test.full)
			require.Equal(t, test.phase, f.node.Rollouts()[0].Phase)
		})
	}
}

// Guards against a register that lacks the target of a roll-out, so that versions are never compared, or that exchanges tallies
// after its end.
func TestRegisterKnowsTargets(t *testing.T) {
	f := newRolloutFixture(t)
	server, register := &forward.Server{RecordRequest: func(string) {}}, &evidence.Register{}
	f.restrict(server, register)
	server.RecordRequest("s")
	require.Empty(t, register.Target("s"))
	require.Empty(t, register.InFlight())
	f.applyOrders([]kv.Entry{orderEntry("v2", 3)}, kv.NewRevision(1, 3), true)
	require.Equal(t, "v2", register.Target("s"))
	require.Empty(t, register.Target("t"))
	choice, err := f.table.Pick(t.Context(), route.Criteria{Kind: route.KindService, Name: "s", PreferredAddress: "10.0.1.1:1"})
	require.NoError(t, err)
	require.Equal(t, []evidence.InFlight{{Service: "s", Target: "v2", Requests: 1}}, register.InFlight())
	choice.Release()
	f.applyOrders(nil, kv.NewRevision(1, 9), true)
	require.Empty(t, register.Target("s"))
	require.Empty(t, register.InFlight())
}

// Guards against a status that cannot be written because the one before cannot be read, and against errors that count as an
// empty key.
func TestStatusInTheStore(t *testing.T) {
	f := newRolloutFixture(t)
	status, revision, err := f.readStatus(t.Context(), "s")
	require.NoError(t, err)
	require.True(t, revision.IsZero())
	require.Zero(t, status)
	written, err := f.writeStatus(t.Context(), "s", rollout.Status{State: rollout.StatusServing, Target: "v2"}, revision)
	require.NoError(t, err)
	_, err = f.writeStatus(t.Context(), "s", rollout.Status{State: rollout.StatusCompleted, Target: "v2"}, revision)
	require.Error(t, err)
	require.EqualValues(t, 1, f.metrics.Value(telemetry.RolloutStatus, "conflict"))
	status, revision, err = f.readStatus(t.Context(), "s")
	require.NoError(t, err)
	require.Equal(t, written, revision)
	require.Equal(t, rollout.Status{State: rollout.StatusServing, Target: "v2"}, status)
	f.value = []byte("\xff")
	status, revision, err = f.readStatus(t.Context(), "s")
	require.NoError(t, err)
	require.Equal(t, written, revision)
	require.Zero(t, status)
	f.err = kv.UnavailableError{Call: "get"}
	_, _, err = f.readStatus(t.Context(), "s")
	require.Error(t, err)
	_, err = f.writeStatus(t.Context(), "s", rollout.Status{State: rollout.StatusServing, Target: "v2"}, revision)
	require.Error(t, err)
	require.EqualValues(t, 2, f.metrics.Value(telemetry.RolloutStatus, "failed"))
}

// Guards against a lone daemon that does not complete a good version, and against a final status that is written without all
// phases, or not at all.
func TestRolloutRunsToItsStatus(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRolloutFixture(t)
		f.revision, f.value = kv.NewRevision(1, 2), []byte(`{"state":"completed","target":"v1"}`)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- f.components()[0].Run(ctx) }()
		f.applyOrders([]kv.Entry{orderEntry("v2", 3)}, kv.NewRevision(1, 3), true)
		time.Sleep(9900 * time.Millisecond)
		cancel()
		require.ErrorIs(t, <-done, context.Canceled)
		status, err := platform.DecodeStatus(kv.NewEntry("status/rollout/s", f.value, f.revision, false))
		require.NoError(t, err)
		require.Equal(t, rollout.Status{State: rollout.StatusCompleted, Target: "v2"}, status)
		for _, phase := range []rollout.Phase{rollout.Observing, rollout.Shifting, rollout.Completed} {
			require.EqualValues(t, 1, f.metrics.Value(telemetry.Rollouts, phase.String()), phase)
		}
	})
}

// Guards against requests to a new version whose order is on the way, and against one without an order that waits for ever.
func TestNewVersionIsHeldBack(t *testing.T) {
	for name, test := range map[string]struct {
		read bool
		held time.Duration
	}{
		"orders read up to its registration": {true, 500 * time.Millisecond},
		"store is silent":                    {false, 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRolloutFixture(t)
				list, _ := f.table.Listings()
				for i := range list {
					if list[i].Version == "v2" {
						list[i].Revision = kv.NewRevision(1, 9)
					}
				}
				f.table.Sync(list)
				f.applyOrders(nil, kv.NewRevision(1, 4), true)
				require.False(t, f.isPicked(t, "v2"))
				if test.read {
					f.applyOrders(nil, kv.NewRevision(1, 9), false)
				}
				for began := time.Now(); !f.isPicked(t, "v2"); f.evaluate() {
					time.Sleep(100 * time.Millisecond)
					require.Less(t, time.Since(began), test.held)
				}
			})
		})
	}
}

// isPicked reports whether requests go to a version.
func (f *rolloutFixture) isPicked(t *testing.T, version string) bool {
	t.Helper()
	found := false
	for range 50 {
		choice, err := f.table.Pick(t.Context(), route.Criteria{Kind: route.KindService, Name: "s"})
		require.NoError(t, err)
		defer choice.Release()
		found = found || choice.Version() == version
	}
	return found
}
