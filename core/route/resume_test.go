package route_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"radishhollow/core/route"
)

// Guards against daemons that send the resumes of a lost engine to the same survivor. Logs the highest number
// of resumes on one survivor for each value of ResumeSampleSize.
func TestResumeSpread(t *testing.T) {
	for _, sampleSize := range []int{0, 2, 4, 8} {
		for resumes, limit := range map[int]int{4: 5, 16: 9} {
			worst, mean := 0, 0.0
			for seed := range uint64(5) {
				most := resumeSpread(t, sampleSize, resumes, seed)
				worst = max(worst, most)
				mean += float64(most) / 5
			}
			t.Logf("sample size %d, %d resumes on each of 5 daemons: most per survivor %.1f, worst %d", sampleSize, resumes, mean, worst)
			if sampleSize == route.DefaultPolicy().ResumeSampleSize {
				require.LessOrEqual(t, worst, limit)
			}
		}
	}
}

func resumeSpread(t *testing.T, sampleSize, resumes int, seed uint64) int {
	random := rand.New(rand.NewPCG(seed, 3))
	counts, most := make(map[string]int), 0
	loads := random.Perm(19)
	for daemon := range 5 {
		p := route.DefaultPolicy()
		p.ResumeSampleSize, p.Seed = sampleSize, seed*10+uint64(daemon)
		tab := route.New(fmt.Sprint(daemon), p)
		tab.Sync(listings(19))
		for i := range 19 {
			tab.Update(report(i, 1, 5+loads[i]%4))
		}
		for i := range resumes {
			criteria := route.Criteria{
				Kind: route.KindModel, Name: "m", Spec: "m@1", Resume: true, MaxTokens: 200,
				Prompt: prompt(uint32(daemon*100+i), 1200),
			}
			c, err := tab.Pick(t.Context(), criteria)
			require.NoError(t, err)
			counts[c.Address()]++
			most = max(most, counts[c.Address()])
		}
	}
	return most
}
