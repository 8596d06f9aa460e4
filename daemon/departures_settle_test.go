package daemon

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/core/route"
)

// restoredCopies returns the entries of the endpoints a and b, unchanged since the copy of the given era was made.
func restoredCopies(era uint64) []kv.Entry {
	return []kv.Entry{readyAs("a", kv.NewRevision(era, 10)), readyAs("b", kv.NewRevision(era, 11))}
}

// expiredList returns a list with the endpoint b, and without a, whose entry expired 3 s ago.
func expiredList() *endpointList {
	l := newPlatformList(kv.Store{}, nil)
	l.apply(restoredCopies(1), kv.NewRevision(1, 100), true)
	changeTo(l, deletedAs("a", kv.NewRevision(1, 101)))
	time.Sleep(3 * time.Second)
	return l
}

// Guards against an endpoint that is kept out for a minute although it is alive: its entry expired because it did not
// reach the store, and in the restored store its heartbeats change nothing but the sequence. The store may return the
// entry again and again, or only once.
func TestEndpointListTakesExpiredEndpointsBackSoon(t *testing.T) {
	for name, lists := range map[string]bool{"lists": true, "one list": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := expiredList()
				l.apply(restoredCopies(2), kv.NewRevision(2, 90), true)
				require.Equal(t, "b", usable(l), "the endpoint may have left")
				time.Sleep(5 * time.Second)
				for range 5 {
					time.Sleep(time.Second)
					if lists {
						l.apply(restoredCopies(2), kv.NewRevision(2, 90), true)
					} else {
						l.apply(nil, kv.NewRevision(2, 90), false)
					}
				}
				require.Equal(t, "ab", usable(l))
			})
		})
	}
}

// Guards against work for a departed endpoint whose restored entry is removed before the era has settled.
func TestEndpointListForgetsRemovedCopies(t *testing.T) {
	for name, remove := range map[string]func(l *endpointList){
		"change": func(l *endpointList) { changeTo(l, deletedAs("a", kv.NewRevision(2, 91))) },
		"list":   func(l *endpointList) { l.apply(restoredCopies(2)[1:], kv.NewRevision(2, 91), true) },
		"malformed": func(l *endpointList) {
			changeTo(l, kv.NewEntry("servers/a", []byte("x"), kv.NewRevision(2, 91), false))
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := expiredList()
				l.apply(restoredCopies(2), kv.NewRevision(2, 90), true)
				time.Sleep(4 * time.Second)
				remove(l)
				time.Sleep(10 * time.Second)
				require.Equal(t, "b", usable(l))
			})
		})
	}
}

// Guards against work for a departed endpoint whose restored entry the store could not remove, because it went away again
// soon after its return.
func TestEndpointListWithholdsDeparturesDuringAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := expiredList()
		l.apply(restoredCopies(2), kv.NewRevision(2, 90), true)
		for range 20 {
			time.Sleep(time.Second)
			l.recordFailure(kv.UnavailableError{Call: "watch"})
			require.Equal(t, "b", usable(l))
		}
		l.apply(nil, kv.NewRevision(2, 90), false)
		require.Equal(t, "b", usable(l))
		time.Sleep(3 * time.Second)
		changeTo(l, deletedAs("a", kv.NewRevision(2, 91)))
		time.Sleep(10 * time.Second)
		require.Equal(t, "b", usable(l))
	})
}

// lostList returns a list whose endpoint b is missing in the first list of the second era, 1 s before the store goes away
// again.
func lostList() *endpointList {
	l := newPlatformList(kv.Store{}, nil)
	l.apply(restoredCopies(1), kv.NewRevision(1, 100), true)
	l.apply(restoredCopies(2)[:1], kv.NewRevision(2, 60), true)
	time.Sleep(time.Second)
	return l
}

// Guards against the loss of a living endpoint that is missing after a return of the store, and can't register because
// the store goes away again within seconds. The store then comes back with the same history, with one that has the
// endpoint, or with one that lacks it.
func TestEndpointListKeepsLostEndpointsDuringAnotherOutage(t *testing.T) {
	for name, begin := range map[string]func(l *endpointList){
		"same era": func(l *endpointList) { l.apply(nil, kv.NewRevision(2, 60), false) },
		"present":  func(l *endpointList) { l.apply(restoredCopies(3), kv.NewRevision(3, 90), true) },
		"lacking":  func(l *endpointList) { l.apply(restoredCopies(3)[:1], kv.NewRevision(3, 50), true) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := lostList()
				l.recordFailure(kv.UnavailableError{Call: "watch"})
				time.Sleep(3 * time.Second)
				require.Equal(t, "ab", usable(l))
				begin(l)
				require.Equal(t, "ab", usable(l))
				time.Sleep(2 * time.Second)
				require.Equal(t, "ab", usable(l), "entries may be written again until then")
				time.Sleep(restoreGrace)
				if name == "present" {
					require.Equal(t, "ab", usable(l))
				} else {
					require.Equal(t, "a", usable(l), "one that is not written again is gone")
				}
			})
		})
	}
}

// Guards against the loss of a living endpoint that two copies lack, of which the second one comes before the endpoint
// could register after the first, and without a failed call of this daemon.
func TestEndpointListKeepsWhatTwoCopiesLack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := lostList()
		l.apply(restoredCopies(3)[:1], kv.NewRevision(3, 50), true)
		time.Sleep(2 * time.Second)
		require.Equal(t, "ab", usable(l))
		time.Sleep(restoreGrace)
		require.Equal(t, "a", usable(l))
	})
}

// Guards against work for an endpoint whose removal the store has acknowledged after an outage, and that is kept for
// longer than the limit of 2 s because the store goes away again.
func TestEndpointListDropsRemovedEndpointsDuringAnotherOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlatformList(kv.Store{}, nil)
		l.apply(restoredCopies(1), kv.NewRevision(1, 100), true)
		l.recordFailure(kv.UnavailableError{Call: "watch"})
		time.Sleep(time.Second)
		changeTo(l, deletedAs("b", kv.NewRevision(1, 101)))
		require.Equal(t, "ab", usable(l))
		time.Sleep(500 * time.Millisecond)
		l.recordFailure(kv.UnavailableError{Call: "watch"})
		time.Sleep(1200 * time.Millisecond)
		require.Equal(t, "a", usable(l))
	})
}

// withoutSequence returns the registrations as a peer passes them on.
func withoutSequence(t *testing.T, l *endpointList, entries ...kv.Entry) []route.Listing {
	list := parsed(t, l, entries...)
	for i := range list {
		list[i].Sequence = 0
	}
	return list
}

// Guards against an endpoint that is kept out although it has registered after the first list of the new era: if its
// departure or its registration comes from a peer's list, which has no sequence, nothing but the revision tells.
func TestEndpointListTakesWhatIsWrittenInTheNewEra(t *testing.T) {
	for name, test := range map[string]struct {
		departFromPeer bool
		read           func(l *endpointList, entries []kv.Entry)
	}{
		"departure of a peer's list": {true, func(l *endpointList, entries []kv.Entry) {
			l.apply(entries, kv.NewRevision(2, 96), true)
		}},
		"registration of a peer's list": {false, func(l *endpointList, entries []kv.Entry) {
			l.replaceFromPeer(withoutSequence(t, l, entries...), kv.NewRevision(2, 96))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPlatformList(kv.Store{}, nil)
				if test.departFromPeer {
					l.replaceFromPeer(withoutSequence(t, l, restoredCopies(1)...), kv.NewRevision(1, 100))
					l.replaceFromPeer(withoutSequence(t, l, restoredCopies(1)[1:]...), kv.NewRevision(1, 101))
				} else {
					l.apply(restoredCopies(1), kv.NewRevision(1, 100), true)
					changeTo(l, deletedAs("a", kv.NewRevision(1, 101)))
				}
				l.apply(restoredCopies(2), kv.NewRevision(2, 60), true)
				require.Equal(t, "b", usable(l))
				l.apply(restoredCopies(2), kv.NewRevision(2, 90), true)
				require.Equal(t, "b", usable(l), "the entry is that of the copy")
				test.read(l, []kv.Entry{registeredAs("a", kv.NewRevision(2, 95), 50, "ready"), restoredCopies(2)[1]})
				require.Equal(t, "ab", usable(l))
			})
		})
	}
}

// Guards against an earlier start of an endpoint, which the copy still has, that replaces the current one although the
// current one is alive. This daemon has started after the restart, so it remembers no departure of the earlier start.
func TestEndpointListKeepsTheLaterStart(t *testing.T) {
	for _, state := range []string{"draining", "ready"} {
		t.Run(state, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPlatformList(kv.Store{}, nil)
				later := registeredAs("b", kv.NewRevision(1, 95), 1, "ready")
				l.apply([]kv.Entry{later}, kv.NewRevision(1, 100), true)
				value := strings.Replace(string(registeredAs("b", kv.Revision{}, 40, state).Value()), `"born":17`, `"born":16`, 1)
				earlier := kv.NewEntry("servers/b", []byte(value), kv.NewRevision(2, 50), false)
				l.apply([]kv.Entry{earlier}, kv.NewRevision(2, 60), true)
				listings, _ := l.table.Listings()
				require.Len(t, listings, 1)
				require.EqualValues(t, 17, listings[0].StartedAtMS)
				require.Equal(t, "b", usable(l), "the later start may be alive and is written again within 2 s")
				time.Sleep(restoreGrace)
				require.Empty(t, usable(l))
				l.apply([]kv.Entry{earlier}, kv.NewRevision(2, 60), true)
				require.Empty(t, usable(l), "the earlier start has ended")
				changeTo(l, registeredAs("b", kv.NewRevision(2, 61), 1, "ready"))
				require.Equal(t, "b", usable(l))
			})
		})
	}
}

// Guards against a draining endpoint that is handed on to peers as ready: a peer has reported it first in the new era, as
// kept from the earlier one, and the store's copy has it as ready.
func TestEndpointListKeepsWhatAPeerKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := departedList(false)
		kept := withoutSequence(t, l, registeredAs("b", kv.NewRevision(2, 0), 9, "draining"))
		l.replaceFromPeer(kept, kv.NewRevision(2, 60))
		l.apply([]kv.Entry{registeredAs("b", kv.NewRevision(2, 11), 5, "ready")}, kv.NewRevision(2, 61), true)
		listings, _, _ := l.Listings()
		require.Len(t, listings, 1)
		require.True(t, listings[0].Leaving)
		changeTo(l, registeredAs("b", kv.NewRevision(2, 70), 10, "ready"))
		listings, _, _ = l.Listings()
		require.False(t, listings[0].Leaving, "this is the endpoint's newer word")
	})
}
