package retry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/retry"
)

// Guards against more retries than the requests allow, and against a key that uses the budget of another.
func TestBudgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &retry.Budgets{Ratio: 0.25, RefillPerSecond: 1, Burst: 3, Initial: 2, MaxKeys: 10}
		take := func(key string) (n int) {
			for b.TakeRetry(key) {
				n++
			}
			return n
		}
		require.Equal(t, 2, take("a"))
		for range 9 {
			b.RecordRequest("a")
		}
		require.Equal(t, 2, take("a"))
		require.Equal(t, 2, take("b"))
		b.ReturnRetry("b")
		require.Equal(t, 1, take("b"), "a retry that was not used is given back")
		time.Sleep(time.Minute)
		require.Equal(t, 3, take("a"), "the bucket is bounded by Burst")
	})
}

// Guards against unbounded memory use with many keys.
func TestBudgetsBoundKeys(t *testing.T) {
	b := retry.Default()
	b.MaxKeys = 3
	for i := range 10 {
		b.RecordRequest(fmt.Sprint(i))
	}
	require.Equal(t, 3, b.Len())
}

// BenchmarkBudgets uses more keys than MaxKeys, so that it includes evictions.
func BenchmarkBudgets(b *testing.B) {
	budgets, keys := retry.Default(), make([]string, 20000)
	for i := range keys {
		keys[i] = fmt.Sprint("workspace/", i)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		budgets.RecordRequest(keys[i%len(keys)])
		budgets.TakeRetry(keys[i%len(keys)])
	}
}
