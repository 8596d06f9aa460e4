package member

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const minute = time.Minute

func newTable() *Table {
	return &Table{Self: "127.0.0.1:1", PeerExpiry: minute, MarkExpiry: 10 * minute}
}

func view(incarnation string, revision uint64) View {
	return View{Address: "127.0.0.2:1", Incarnation: incarnation, Place: "liberia", Revision: revision, Digest: "d" + fmt.Sprint(revision)}
}

func member(incarnation string, revision uint64, age time.Duration) Member {
	return Member{Address: "127.0.0.2:1", Incarnation: incarnation, Revision: revision, Age: age}
}

func TestMergeRules(t *testing.T) {
	for _, test := range []struct {
		name        string
		apply       func(t *Table)
		incarnation string
		revision    uint64
		digest      string
	}{
		{"view", func(t *Table) { t.MergeRequest(view("5", 3)) }, "5", 3, "d3"},
		{"lower incarnation is ignored", func(t *Table) { t.MergeRequest(view("10", 3)); t.MergeRequest(view("9", 8)) }, "10", 3, "d3"},
		{"higher incarnation wins", func(t *Table) { t.MergeRequest(view("9", 8)); t.MergeRequest(view("10", 3)) }, "10", 3, "d3"},
		{"response wins", func(t *Table) { t.MergeRequest(view("10", 3)); t.MergeResponse(view("9", 8)) }, "9", 8, "d8"},
		{"delayed view does not lower the revision", func(t *Table) { t.MergeRequest(view("5", 3)); t.MergeRequest(view("5", 2)) }, "5", 3, "d3"},
		{"member raises the revision without a digest", func(t *Table) {
			t.MergeRequest(view("5", 3))
			t.MergeRequest(View{Members: []Member{member("5", 4, 0)}})
		}, "5", 4, ""},
		{"old member is ignored", func(t *Table) {
			t.MergeRequest(view("5", 3))
			t.MergeRequest(View{Members: []Member{member("6", 4, 2*minute)}})
		}, "5", 3, "d3"},
		{"list does not replace a live incarnation by a lower one", func(t *Table) {
			t.MergeRequest(view("5", 3))
			t.SetListed([]Member{member("4", 0, 0)})
		}, "5", 3, "d3"},
		{"expired incarnation is replaced by a lower one", func(t *Table) {
			t.MergeRequest(view("5", 3))
			t.SetListed([]Member{member("5", 0, 0)})
			time.Sleep(2 * minute)
			t.SetListed([]Member{member("4", 0, 0)})
		}, "4", 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := newTable()
				test.apply(table)
				for _, p := range table.Peers() {
					if p.Address() == "127.0.0.2:1" {
						require.Equal(t, test.incarnation, p.Incarnation())
						require.Equal(t, test.revision, p.Revision())
						require.Equal(t, test.digest, p.Digest())
						return
					}
				}
				t.Fatal("the peer is not in the table")
			})
		})
	}
}

func TestSelfNeverEntersTheTable(t *testing.T) {
	table := newTable()
	table.MergeRequest(View{Address: table.Self, Members: []Member{{Address: table.Self, Incarnation: "9"}}})
	table.SetListed([]Member{{Address: table.Self, Incarnation: "9"}})
	require.Empty(t, table.Peers())
}

// Guards against peers that keep a dead daemon in their tables by sending it to each other.
func TestSilentPeersExpireDespiteGossip(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTable(), newTable()
		a.MergeRequest(view("5", 3))
		for range 90 {
			b.MergeRequest(View{Address: "127.0.0.3:1", Members: a.SampleMembers(8)})
			a.MergeRequest(View{Address: "127.0.0.4:1", Members: b.SampleMembers(8)})
			time.Sleep(time.Second)
		}
		require.NotContains(t, a.Addresses(), "127.0.0.2:1")
		require.NotContains(t, b.Addresses(), "127.0.0.2:1")
	})
}

func TestListedPeersStayWhileSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.SetListed([]Member{member("5", 0, 0)})
		time.Sleep(time.Hour)
		require.Len(t, table.Peers(), 1)
		_, seen := table.Peers()[0].LastSeenAge()
		require.False(t, seen, "the platform's list does not show that a peer is alive")
		require.Empty(t, table.SampleMembers(8))
		table.SetListed(nil)
		require.Empty(t, table.Peers())
	})
}

func TestMarksSpreadOnceAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := newTable(), newTable()
		var seen []Mark
		b.OnMark = func(m Mark) { seen = append(seen, m) }
		a.Mark("127.0.0.9:1", "7", false)
		for range 20 {
			time.Sleep(minute)
			b.MergeRequest(View{Address: "127.0.0.3:1", Marks: a.Marks(8)})
			a.MergeRequest(View{Address: "127.0.0.4:1", Marks: b.Marks(8)})
		}
		require.Len(t, seen, 1)
		require.Empty(t, a.Marks(8), "marks that daemons send to each other must expire")
		require.Empty(t, b.Marks(8))
	})
}

// Guards against views that grow because of older marks, and against marks that are never sent in any view.
func TestViewsCarryRecentMarksAndFewOlderOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		for i := range 40 {
			table.Mark(fmt.Sprintf("127.0.8.%d:1", i), "old", false)
		}
		require.Len(t, table.Marks(16), 16)
		time.Sleep(recentMarkAge)
		table.Mark("127.0.9.1:1", "young", false)
		sent := map[string]bool{}
		for range 400 {
			list := table.Marks(16)
			require.Len(t, list, 1+maxOlderMarks)
			require.Equal(t, "young", list[0].Incarnation)
			for _, m := range list {
				sent[m.Address] = true
			}
		}
		require.Len(t, sent, 41)
	})
}

func TestMarksAreByIncarnationAndDeadStays(t *testing.T) {
	table := newTable()
	var seen []Mark
	table.OnMark = func(m Mark) { seen = append(seen, m) }
	table.Mark("127.0.0.9:1", "7", false)
	table.Mark("127.0.0.9:1", "7", true)
	table.Mark("127.0.0.9:1", "7", false)
	m, found := table.Marked("127.0.0.9:1", "7")
	require.True(t, found)
	require.True(t, m.Dead)
	_, found = table.Marked("127.0.0.9:1", "8")
	require.False(t, found, "a restarted endpoint must not inherit the mark")
	require.Len(t, seen, 2)
}

// Guards against a repeated mark that expires later than the first, which two daemons could renew forever.
func TestRepeatedMarkKeepsItsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		table.Mark("127.0.0.9:1", "7", false)
		time.Sleep(9 * minute)
		table.Mark("127.0.0.9:1", "7", false)
		m, found := table.Marked("127.0.0.9:1", "7")
		require.True(t, found)
		require.Equal(t, 9*minute, m.Age)
		time.Sleep(2 * minute)
		_, found = table.Marked("127.0.0.9:1", "7")
		require.False(t, found)
	})
}

func TestMemoryIsBounded(t *testing.T) {
	table := newTable()
	for i := range maxMarks + 10 {
		table.Mark(fmt.Sprint(i), "1", true)
	}
	require.Len(t, table.marks, maxMarks)
	var listed []Member
	for i := range maxPeers + 10 {
		listed = append(listed, Member{Address: fmt.Sprint(i)})
	}
	table.SetListed(listed)
	require.Len(t, table.Peers(), maxPeers)
}

func TestDemandAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newTable()
		v := view("5", 1)
		v.Demand = []Demand{{Workspace: "w", RequestsPerSecond: 2}}
		table.MergeRequest(v)
		require.Len(t, table.Peers()[0].Demand(time.Second), 1)
		time.Sleep(2 * time.Second)
		require.Empty(t, table.Peers()[0].Demand(time.Second))
	})
}

func TestIsolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &IsolationDetector{Timeout: 15 * time.Second}
		require.True(t, d.Isolated())
		d.RecordContact()
		time.Sleep(15 * time.Second)
		require.False(t, d.Isolated())
		time.Sleep(time.Millisecond)
		require.True(t, d.Isolated())
	})
}
