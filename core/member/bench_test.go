package member

import (
	"fmt"
	"testing"
)

// tableOfPlannedSize returns the table of one of the planned 440 daemons, with demand of 76 workspaces at each peer,
// and a view to merge.
func tableOfPlannedSize() (*Table, View) {
	t := newTable()
	v := View{Incarnation: "1", Place: "p", Revision: 1, Digest: "d"}
	for i := range 76 {
		v.Demand = append(v.Demand, Demand{Workspace: fmt.Sprint(i), RequestsPerSecond: 1, TokensPerSecond: 100})
	}
	for i := range 439 {
		v.Address = fmt.Sprintf("127.0.%d.%d:1", 1+i/200, 1+i%200)
		t.MergeRequest(v)
	}
	v.Demand = v.Demand[:16]
	for i := range 8 {
		v.Members = append(v.Members, Member{
			Address: fmt.Sprintf("127.0.1.%d:1", 1+20*i), Incarnation: "1", Place: "p", Revision: 1,
		})
	}
	return t, v
}

func BenchmarkMergeRequest(b *testing.B) {
	t, v := tableOfPlannedSize()
	b.ReportAllocs()
	for b.Loop() {
		t.MergeRequest(v)
	}
}

func BenchmarkPeers(b *testing.B) {
	t, _ := tableOfPlannedSize()
	b.ReportAllocs()
	for b.Loop() {
		t.Peers()
	}
}

func BenchmarkSampleMembers(b *testing.B) {
	t, _ := tableOfPlannedSize()
	b.ReportAllocs()
	for b.Loop() {
		t.SampleMembers(8)
	}
}
