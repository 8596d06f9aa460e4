package peer

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"radishhollow/core/member"
	"radishhollow/core/quarantine"
	"radishhollow/io/peer/rpc"
)

// fullView returns a view with the maximum numbers of members, marks, workspaces and items of evidence that a daemon
// sends.
func fullView() member.View {
	v := member.View{
		Address: "10.20.30.40:7000", Incarnation: "1764800000000000000", Place: "dk-east-1", Revision: 27000,
		Digest: fmt.Sprintf("%064d", 1),
	}
	for i := range maxSentDemand {
		v.Demand = append(v.Demand, member.Demand{
			Workspace: fmt.Sprintf("workspace-%d", i), RequestsPerSecond: 1.5, TokensPerSecond: 400, Concurrency: 3,
		})
	}
	for i := range maxSentMarks {
		v.Marks = append(v.Marks, member.Mark{
			Address: fmt.Sprintf("10.20.30.%d:7000", i), Incarnation: "6f1c2a58-6c1e-4c5e-9f0b-0123456789ab", Age: time.Second,
		})
	}
	for i := range maxSentMembers {
		v.Members = append(v.Members, member.Member{
			Address: fmt.Sprintf("10.20.31.%d:7000", i), Incarnation: v.Incarnation, Place: v.Place, Revision: v.Revision,
			Age: time.Second,
		})
	}
	for i := range maxSentEnds {
		v.Evidence.Ends = append(v.Evidence.Ends, quarantine.End{
			Endpoint: fmt.Sprintf("i-%010x", i), Parts: make([]quarantine.Part, maxSentParts/maxSentEnds), Age: time.Minute,
		})
	}
	for i := range maxSentClearances {
		v.Evidence.Clearances = append(v.Evidence.Clearances, quarantine.Clearance{
			Part: quarantine.PartOf(fmt.Sprint(i)), Age: time.Second,
		})
	}
	return v
}

func BenchmarkViewEncode(b *testing.B) {
	v, size := fullView(), 0
	b.ReportAllocs()
	for b.Loop() {
		data, err := proto.Marshal(toWire(v))
		if err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size), "view-bytes")
}

func BenchmarkViewDecode(b *testing.B) {
	data, err := proto.Marshal(toWire(fullView()))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var w rpc.View
		if err := proto.Unmarshal(data, &w); err != nil || !isValidView(&w) {
			b.Fatal(err)
		}
		fromWire(&w)
	}
}
