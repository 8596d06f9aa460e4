package route_test

import (
	"fmt"
	"testing"

	"radishhollow/core/route"
)

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{20, 400, 12000} {
		tab := table(n, nil)
		need := route.Criteria{Kind: route.KindModel, Name: "m", Prompt: prompt(1, 2000), MaxTokens: 200}
		b.Run(fmt.Sprintf("endpoints-%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c, err := tab.Pick(b.Context(), need)
				if err != nil {
					b.Fatal(err)
				}
				c.Release()
			}
		})
	}
}

func BenchmarkTargets(b *testing.B) {
	tab := table(0, nil)
	tab.Sync(listings(12000))
	b.ReportAllocs()
	for b.Loop() {
		tab.PollTargets()
	}
}

func BenchmarkSync(b *testing.B) {
	tab, list := table(0, nil), listings(12000)
	b.ReportAllocs()
	for b.Loop() {
		tab.Sync(list)
	}
}
