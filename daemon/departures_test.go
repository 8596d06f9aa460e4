package daemon

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/core/route"
)

func changeTo(l *endpointList, entry kv.Entry) { l.apply([]kv.Entry{entry}, entry.Revision(), false) }

func deletedAs(id string, revision kv.Revision) kv.Entry {
	return kv.NewEntry("servers/"+id, nil, revision, true)
}

// departedList returns a list with the endpoint a, and with b that has left by reporting or by its removal.
func departedList(removed bool) *endpointList {
	l := newPlatformList(kv.Store{}, nil)
	l.apply([]kv.Entry{registeredAs("a", kv.NewRevision(1, 10), 5, "ready"), registeredAs("b", kv.NewRevision(1, 11), 5, "ready")}, kv.NewRevision(1, 90), true)
	if removed {
		changeTo(l, deletedAs("b", kv.NewRevision(1, 95)))
	} else {
		changeTo(l, registeredAs("b", kv.NewRevision(1, 95), 9, "draining"))
	}
	return l
}

// Guards against work for an endpoint whose leaving this daemon has acknowledged, after the store has come back from a
// copy in which the endpoint is ready. The copy may be read from the store, again and again, or be handed over by a peer.
func TestEndpointListKeepsDepartedEndpointsAway(t *testing.T) {
	after := kv.NewRevision(2, 60)
	copies := []kv.Entry{registeredAs("a", kv.NewRevision(2, 10), 5, "ready"), registeredAs("b", kv.NewRevision(2, 11), 5, "ready")}
	for name, read := range map[string]func(l *endpointList){
		"own list":  func(l *endpointList) { l.apply(copies, after, true) },
		"peer list": func(l *endpointList) { l.replaceFromPeer(parsed(t, l, copies...), after) },
		"peer list without the sequence": func(l *endpointList) {
			list := parsed(t, l, copies...)
			list[0].Sequence, list[1].Sequence = 0, 0
			l.replaceFromPeer(list, after)
		},
		"both, again and again": func(l *endpointList) {
			l.replaceFromPeer(parsed(t, l, copies...), after)
			l.apply(copies, after, true)
			l.replaceFromPeer(parsed(t, l, copies...), after.Next())
			l.apply(copies, after.Next().Next(), true)
		},
		"two eras": func(l *endpointList) {
			l.apply(copies, after, true)
			copies := []kv.Entry{registeredAs("a", kv.NewRevision(3, 10), 5, "ready"), registeredAs("b", kv.NewRevision(3, 11), 5, "ready")}
			l.apply(copies, kv.NewRevision(3, 50), true)
		},
	} {
		for _, removed := range []bool{false, true} {
			t.Run(name+", removed "+strconv.FormatBool(removed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					l := departedList(removed)
					time.Sleep(30 * time.Second)
					read(l)
					require.Equal(t, "a", usable(l))
					time.Sleep(5 * time.Second)
					read(l)
					require.Equal(t, "a", usable(l))
					listings, _, _ := l.Listings()
					for _, listing := range listings {
						require.True(t, listing.Incarnation == "a" || listing.Leaving, "peers would take it for ready")
					}
				})
			})
		}
	}
}

// Guards against an endpoint that is kept away after its own newer word: a report after its last one, another start, or
// any change that the store reports in the new era.
func TestEndpointListTakesDepartedEndpointsBack(t *testing.T) {
	after := kv.NewRevision(2, 60)
	restarted := registeredAs("b", kv.NewRevision(2, 55), 1, "ready")
	restarted = kv.NewEntry(restarted.Key(), []byte(strings.Replace(string(restarted.Value()), `"born":17`, `"born":18`, 1)), restarted.Revision(), false)
	for name, read := range map[string]func(l *endpointList){
		"higher sequence": func(l *endpointList) {
			l.apply([]kv.Entry{registeredAs("b", kv.NewRevision(2, 55), 10, "ready")}, after, true)
		},
		"another start": func(l *endpointList) { l.apply([]kv.Entry{restarted}, after, true) },
		"change in the new era": func(l *endpointList) {
			l.apply([]kv.Entry{registeredAs("b", kv.NewRevision(2, 11), 5, "ready")}, after, true)
			changeTo(l, registeredAs("b", kv.NewRevision(2, 61), 5, "ready"))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := departedList(true)
				read(l)
				require.Contains(t, usable(l), "b")
			})
		})
	}
}

// Guards against an endpoint that stays away although it is alive: it was silent for a while, so that the store removed
// its entry, and in the restored store its reports change nothing.
func TestEndpointListForgetsDepartures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := departedList(true)
		copies := []kv.Entry{registeredAs("a", kv.NewRevision(2, 10), 5, "ready"), registeredAs("b", kv.NewRevision(2, 11), 5, "ready")}
		l.apply(copies, kv.NewRevision(2, 60), true)
		require.Equal(t, "a", usable(l))
		time.Sleep(10 * time.Second)
		l.apply(copies, kv.NewRevision(2, 60), true)
		require.Equal(t, "ab", usable(l))
	})
}

// Guards against an endpoint that stays away for as long as calls of this daemon to the store fail now and then, because
// each failed call extends the time until the era has settled.
func TestEndpointListForgetsDeparturesBetweenFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := departedList(true)
		copies := []kv.Entry{registeredAs("a", kv.NewRevision(2, 10), 5, "ready"), registeredAs("b", kv.NewRevision(2, 11), 5, "ready")}
		for range 13 {
			l.apply(copies, kv.NewRevision(2, 60), true)
			time.Sleep(2 * time.Second)
			l.recordFailure(kv.UnavailableError{Call: "watch"})
			time.Sleep(3 * time.Second)
		}
		l.apply(copies, kv.NewRevision(2, 60), true)
		require.Equal(t, "ab", usable(l))
	})
}

// Guards against an earlier start of an endpoint that replaces its current one because the copy is older than the
// restart. The current one is then missing in the copy, and not written again if it has ended meanwhile.
func TestEndpointListIgnoresAnEarlierStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlatformList(kv.Store{}, nil)
		first := registeredAs("b", kv.NewRevision(1, 11), 40, "ready")
		l.apply([]kv.Entry{first}, kv.NewRevision(1, 90), true)
		second := strings.Replace(strings.Replace(string(first.Value()), `"born":17`, `"born":18`, 1), `"sequence":40`, `"sequence":1`, 1)
		changeTo(l, kv.NewEntry(first.Key(), []byte(second), kv.NewRevision(1, 95), false))
		l.apply([]kv.Entry{registeredAs("b", kv.NewRevision(2, 11), 40, "ready")}, kv.NewRevision(2, 60), true)
		listings, _ := l.table.Listings()
		require.Len(t, listings, 1)
		require.EqualValues(t, 18, listings[0].StartedAtMS)
		time.Sleep(restoreGrace)
		require.Empty(t, usable(l))
	})
}

// Guards against a memory for departures that grows with the number of endpoints that ever left.
func TestDeparturesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var d departures
		for i := range 3 * maxDepartures {
			d.record(strconv.Itoa(i), route.Listing{Sequence: 5}, 1)
		}
		require.Len(t, d.byStart, maxDepartures)
		require.LessOrEqual(t, len(d.order), maxDepartures)
		require.True(t, d.covers(strconv.Itoa(3*maxDepartures-1), route.Listing{Sequence: 5}, 2))
		time.Sleep(time.Minute)
		d.record("x", route.Listing{Sequence: 5}, 1)
		require.Len(t, d.byStart, 1)
	})
}
