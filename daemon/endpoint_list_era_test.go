package daemon

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/kv"
	"radishhollow/core/route"
)

// registeredAs returns the entry of an endpoint at port 1 whose ID is "a", and so on.
func registeredAs(id string, revision kv.Revision, sequence int, state string) kv.Entry {
	value := fmt.Sprintf(`{"service":"s","address":"10.1.0.9:%d","zone":"z","version":"v","slots":4,"state":%q,"cold_left_ms":0,`+
		`"sequence":%d,"born":17}`, id[0]-'a'+1, state, sequence)
	return kv.NewEntry("servers/"+id, []byte(value), revision, false)
}

func readyAs(id string, revision kv.Revision) kv.Entry { return registeredAs(id, revision, 1, "ready") }

func parsed(t *testing.T, l *endpointList, entries ...kv.Entry) []route.Listing {
	var list []route.Listing
	for _, entry := range entries {
		listing, err := l.parse(entry)
		require.NoError(t, err)
		list = append(list, listing)
	}
	return list
}

// usable returns the IDs of the endpoints from a to e that may get work.
func usable(l *endpointList) string {
	l.dropOverdue()
	ids := ""
	for _, id := range "abcde" {
		if l.table.Usable(fmt.Sprintf("10.1.0.9:%d", id-'a'+1), string(id)) {
			ids += string(id)
		}
	}
	return ids
}

// Guards against the loss of a living endpoint that registered after the copy from which the store came back. The daemon
// may see the new era first in the store or at a peer, and without a failed call before.
func TestEndpointListKeepsWhatArrivedInTheLostSeconds(t *testing.T) {
	before, after := kv.NewRevision(1, 100), kv.NewRevision(2, 60)
	copied := readyAs("a", kv.NewRevision(2, 10))
	for name, begin := range map[string]func(l *endpointList){
		"own list":  func(l *endpointList) { l.apply([]kv.Entry{copied}, after, true) },
		"peer list": func(l *endpointList) { l.replaceFromPeer(parsed(t, l, copied), after) },
		"both": func(l *endpointList) {
			l.replaceFromPeer(parsed(t, l, copied), after)
			time.Sleep(100 * time.Millisecond)
			l.replaceFromPeer(parsed(t, l, copied), after.Next())
			l.apply([]kv.Entry{copied}, after.Next().Next(), true)
		},
		"after a list of a peer": func(l *endpointList) {
			l.replaceFromPeer(parsed(t, l, readyAs("a", before), readyAs("b", before), readyAs("c", before)), before.Next())
			l.apply([]kv.Entry{copied}, after, true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPlatformList(kv.Store{}, nil)
				l.apply([]kv.Entry{readyAs("a", before), readyAs("b", before), readyAs("c", before)}, before, true)
				l.recordFailure(kv.UnavailableError{Call: "watch"})
				l.apply(nil, before, false)
				time.Sleep(time.Minute)
				begin(l)
				require.Equal(t, "abc", usable(l))
				time.Sleep(2 * time.Second)
				require.Equal(t, "abc", usable(l), "entries may be written again until then")
				l.apply([]kv.Entry{readyAs("b", kv.NewRevision(2, 70))}, kv.NewRevision(2, 70), false)
				time.Sleep(restoreGrace)
				require.Equal(t, "ab", usable(l), "one that is not written again is gone")
			})
		})
	}
}

// Guards against an endpoint that is dropped although it lives: its registration was not renewed while the store was
// away, so that the restored store deletes it, and this daemon has not noticed the outage by a failed call.
func TestEndpointListKeepsWhatExpiresAtTheReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlatformList(kv.Store{}, nil)
		l.apply([]kv.Entry{readyAs("a", kv.NewRevision(1, 10))}, kv.NewRevision(1, 100), true)
		l.apply([]kv.Entry{readyAs("a", kv.NewRevision(2, 10))}, kv.NewRevision(2, 60), true)
		deletion := kv.NewEntry("servers/a", nil, kv.NewRevision(2, 61), true)
		l.apply([]kv.Entry{deletion}, deletion.Revision(), false)
		require.Equal(t, "a", usable(l))
		time.Sleep(reregistrationGrace)
		require.Empty(t, usable(l), "the limit for endpoints that left in an outage holds")
	})
}

// Guards against a list that goes back to an earlier era of the store, by a peer or a reader that has not noticed the
// new one, and against a list of the new era that is refused because of its number.
func TestEndpointListFollowsTheLaterEra(t *testing.T) {
	for _, number := range []uint64{60, 100, 140} {
		synctest.Test(t, func(t *testing.T) {
			old, next := kv.NewRevision(1, 100), kv.NewRevision(2, number)
			l := newPlatformList(kv.Store{}, nil)
			l.apply([]kv.Entry{readyAs("a", old)}, old, true)
			l.replaceFromPeer(parsed(t, l, readyAs("a", next), readyAs("b", next)), next)
			require.Equal(t, "ab", usable(l))
			l.replaceFromPeer(parsed(t, l, readyAs("c", old)), kv.NewRevision(1, 900))
			l.apply([]kv.Entry{readyAs("d", old)}, kv.NewRevision(1, 901), true)
			l.apply([]kv.Entry{kv.NewEntry("servers/a", nil, kv.NewRevision(1, 902), true)}, kv.NewRevision(1, 902), false)
			time.Sleep(10 * time.Second)
			require.Equal(t, "ab", usable(l))
			_, revision, _ := l.Listings()
			require.Equal(t, next, revision)
		})
	}
}

// Guards against a list that keeps the revision of an earlier era if the store came back empty, so that peers would
// hand it over as current.
func TestEndpointListTakesTheEraOfAnEmptyList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlatformList(kv.Store{}, nil)
		l.apply([]kv.Entry{readyAs("a", kv.NewRevision(1, 10))}, kv.NewRevision(1, 100), true)
		l.apply(nil, kv.NewRevision(2, 1), true)
		require.Equal(t, "a", usable(l))
		_, revision, _ := l.Listings()
		require.Equal(t, kv.NewRevision(2, 1), revision)
	})
}

// Guards against an end of an era that is taken for a failure of the store: the daemon would log an outage and ask its
// peers for what the store has.
func TestEndpointListTakesANewEraForAResponse(t *testing.T) {
	l := newPlatformList(kv.Store{}, nil)
	l.recordFailure(kv.EraEndedError{Era: 1, Current: 2})
	require.Zero(t, l.lastFailure)
}

// Guards against addressing the endpoint at an address by the incarnation of its crashed predecessor, which the copy
// still has, while the entry of the successor was written after it and is not back yet.
func TestEndpointListTakesTheNewestOfAnAddressAcrossEras(t *testing.T) {
	at := func(id string, revision kv.Revision, born int) kv.Entry {
		entry := registeredAs("a", revision, 1, "ready")
		value := strings.Replace(string(entry.Value()), `"born":17`, fmt.Sprintf(`"born":%d`, born), 1)
		return kv.NewEntry("servers/"+id, []byte(value), revision, false)
	}
	for name, known := range map[string][]kv.Entry{
		"predecessor known":     {at("old", kv.NewRevision(1, 10), 17), at("new", kv.NewRevision(1, 95), 900)},
		"predecessor not known": {at("new", kv.NewRevision(1, 95), 900)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newPlatformList(kv.Store{}, nil)
				l.apply(known, kv.NewRevision(1, 95), true)
				require.True(t, l.table.HasIncarnation("10.1.0.9:1", "new"))
				l.apply([]kv.Entry{at("old", kv.NewRevision(2, 10), 17)}, kv.NewRevision(2, 60), true)
				require.True(t, l.table.HasIncarnation("10.1.0.9:1", "new"))
				l.apply([]kv.Entry{at("next", kv.NewRevision(2, 61), 950)}, kv.NewRevision(2, 61), false)
				require.True(t, l.table.HasIncarnation("10.1.0.9:1", "next"))
			})
		})
	}
}

// Guards against a faulty peer that reports an era in which the store never was: this daemon would ignore the store from
// then on, or take the peer's list again and again.
func TestEndpointListDropsAFalseEraOfAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newPlatformList(kv.Store{}, nil)
		own := []kv.Entry{readyAs("a", kv.NewRevision(1, 10)), readyAs("b", kv.NewRevision(1, 11))}
		l.apply(own, kv.NewRevision(1, 100), true)
		taken := 0
		for i := range uint64(100) {
			forged := kv.NewRevision(900, i+1)
			l.recordPeerRevision(forged)
			if l.peerRevision == forged {
				l.replaceFromPeer(parsed(t, l, readyAs("e", forged)), forged)
				taken++
			}
			time.Sleep(100 * time.Millisecond)
			l.apply(own, kv.NewRevision(1, 101+i), true)
		}
		require.Equal(t, "ab", usable(l))
		require.LessOrEqual(t, taken, 30, "the peer is believed for 3 s")
		_, revision, _ := l.Listings()
		require.Equal(t, kv.NewRevision(1, 200), revision)

		next := kv.NewRevision(2, 50)
		l.replaceFromPeer(parsed(t, l, readyAs("a", next), readyAs("c", next)), next)
		require.Equal(t, "abc", usable(l), "a list of the era that follows is taken")
	})
}

// Guards against a daemon behind in era that asks its peers for a number of the earlier era, which none of them has, and
// against a peer in an earlier era that hands over its list because of a higher number.
func TestEndpointListFetchesAcrossEras(t *testing.T) {
	node, exchanger, _ := newPeerNode(t, nil)
	at := func(revision kv.Revision, ids ...string) *endpointList {
		l := newPlatformList(kv.Store{}, exchanger)
		var entries []kv.Entry
		for _, id := range ids {
			entries = append(entries, readyAs(id, revision))
		}
		l.apply(entries, revision, true)
		return l
	}
	fetch := func(l *endpointList, until func() bool) {
		l.recordFailure(kv.UnavailableError{Call: "watch"})
		_, revision, _ := node.Listings()
		l.recordPeerRevision(revision)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			l.runPeerFetch(ctx)
		}()
		require.Eventually(t, until, 10*time.Second, 10*time.Millisecond)
		cancel()
		<-done
	}
	later := at(kv.NewRevision(2, 60), "a", "b")
	earlier := at(kv.NewRevision(1, 900), "c")
	node.Listings = later.Listings
	fetch(earlier, func() bool { return usable(earlier) == "abc" })
	_, revision, _ := earlier.Listings()
	require.Equal(t, kv.NewRevision(2, 60), revision)

	earlier = at(kv.NewRevision(1, 900), "c")
	asked := make(chan struct{}, 100)
	node.Listings = func() ([]route.Listing, kv.Revision, bool) {
		asked <- struct{}{}
		return earlier.Listings()
	}
	fetch(later, func() bool { return len(asked) > 2 })
	require.Equal(t, "ab", usable(later))
}
