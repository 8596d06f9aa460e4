package engine_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
)

type loadReport struct {
	MaxFencingToken uint64         `json:"fence"`
	Models          []engine.Model `json:"models"`
}

// Guards against an engine that checks fencing tokens but still executes the orders of a previous lease holder.
func TestFence(t *testing.T) {
	t.Parallel()
	for _, check := range []bool{true, false} {
		url := start(t, func(s *engine.Server) { s.CheckFencingToken = check })
		order := func(fence int, version string) int {
			return call(t, http.MethodPost, url+"/v1/orders", map[string]any{
				"kind": "load-model", "model": "briefing", "version": version, "fence": fence,
			}).StatusCode
		}
		require.Equal(t, http.StatusAccepted, order(7, "2"))
		wantStatus, wantVersion := http.StatusAccepted, "3"
		if check {
			wantStatus, wantVersion = http.StatusConflict, "2"
		}
		require.Equal(t, wantStatus, order(6, "3"))
		require.Eventually(t, func() bool {
			l := getJSON[loadReport](t, url+"/v1/load")
			return l.MaxFencingToken == 7 && l.Models[0].Version == wantVersion
		}, 5*time.Second, 10*time.Millisecond)
	}
}

// Guards against running streams that still report the old spec after their model was replaced.
func TestReplacedDuringOutput(t *testing.T) {
	t.Parallel()
	url := start(t, nil)
	prompt := engine.Tokenize("write a brief")
	lines := startCompletion(t, url, "g", prompt, 0, 1, 500, 0)
	_, _ = nextChunk(t, lines)
	call(t, http.MethodPost, url+"/v1/orders", map[string]any{
		"kind": "load-model", "model": "briefing", "version": "2", "fence": 1,
	})
	last := ""
	for {
		c, ok := nextChunk(t, lines)
		if !ok {
			break
		}
		last = c.Fingerprint
	}
	require.Equal(t, "briefing@2", last)
}

// Guards against a cache that ignores its capacity or saves no prefill, which would invalidate measurements of extra
// engine work.
func TestPrefixCache(t *testing.T) {
	t.Parallel()
	url := start(t, func(s *engine.Server) { s.CacheBlocks = 4 })
	prompt := make([]uint32, 3*engine.BlockTokens+2)
	for i := range prompt {
		prompt[i] = uint32(i + 1)
	}
	_, _ = collect(t, startCompletion(t, url, "a", prompt, 0, 1, 1, 0))
	_, _ = collect(t, startCompletion(t, url, "b", prompt, 0, 1, 1, 0))
	stats := getJSON[engine.Stats](t, url+"/stats")
	require.Equal(t, 3*engine.BlockTokens, stats.CachedPrefillTokens)
	require.Equal(t, len(prompt)+2, stats.PrefilledTokens)
	prompt[0] = 99
	_, _ = collect(t, startCompletion(t, url, "c", prompt, 0, 1, 1, 0))
	kinds := map[string]int{}
	for _, e := range getJSON[struct {
		Events []struct{ Kind string }
	}](t, url+"/v1/cache-events?after=0").Events {
		kinds[e.Kind]++
	}
	require.Equal(t, map[string]int{"stored": 6, "evicted": 2}, kinds)
}

// Guards against a stream that ends with its connection, or that is kept longer than DetachHold without one.
func TestDetachHold(t *testing.T) {
	t.Parallel()
	url := start(t, func(s *engine.Server) { s.DetachHold = time.Second })
	prompt := engine.Tokenize("write a brief")
	resp := call(t, http.MethodPost, url+"/v1/completions", map[string]any{
		"model": "briefing", "prompt": prompt, "max_tokens": 2000, "request_id": "g", "attempt": 1,
	})
	_, ok := nextChunk(t, bufio.NewScanner(resp.Body))
	require.True(t, ok)
	require.NoError(t, resp.Body.Close())
	time.Sleep(50 * time.Millisecond)
	attached := call(t, http.MethodGet, url+"/v1/streams/g?attempt=2&offset=0", nil)
	require.Equal(t, http.StatusOK, attached.StatusCode)
	require.NoError(t, attached.Body.Close())
	require.Eventually(t, func() bool {
		return call(t, http.MethodDelete, url+"/v1/streams/g?attempt=1", nil).StatusCode == http.StatusNotFound
	}, 5*time.Second, 50*time.Millisecond)
}

// Guards against a timing model without a cost for prefill or for a larger batch, which would invalidate all latency
// measurements.
func TestTimeModel(t *testing.T) {
	t.Parallel()
	url := start(t, func(s *engine.Server) { s.PrefillRate, s.TokenGapPerStream = 1000, 3*time.Millisecond })
	prompt := make([]uint32, 400)
	for i := range prompt {
		prompt[i] = uint32(i + 1)
	}
	began := time.Now()
	_, _ = collect(t, startCompletion(t, url, "cold", prompt, 0, 1, 1, 0))
	require.Greater(t, time.Since(began), 390*time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		_ = startCompletion(t, url, id, prompt[:1], 0, 1, 1000, 0)
	}
	gap := func() float64 {
		return getJSON[struct {
			Gap float64 `json:"token-gap-ms"`
		}](t, url+"/v1/load").Gap
	}
	require.Eventually(t, func() bool { return gap() == 8 }, 5*time.Second, 10*time.Millisecond)
	call(t, http.MethodPost, url+"/faults", map[string]any{"slow-factor": 2})
	require.Eventually(t, func() bool { return gap() == 16 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against an adapter that is served before its weights are fetched, or under the spec of the base model.
func TestAdapter(t *testing.T) {
	t.Parallel()
	var fetches atomic.Int32
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if fetches.Add(1) == 1 {
			w.WriteHeader(http.StatusTooManyRequests)
		}
	}))
	t.Cleanup(store.Close)
	url := start(t, func(s *engine.Server) { s.Platform = store.Listener.Addr().String() })
	body := map[string]any{
		"model": "briefing:legal", "prompt": []uint32{1}, "max_tokens": 3, "request_id": "g", "attempt": 1,
	}
	refused := call(t, http.MethodPost, url+"/v1/completions", body)
	require.Equal(t, http.StatusServiceUnavailable, refused.StatusCode)
	require.Equal(t, "1", refused.Header.Get("Not-Run"))
	call(t, http.MethodPost, url+"/v1/orders", map[string]any{
		"kind": "load-adapter", "model": "briefing", "adapter": "legal", "adapter-version": "4", "fence": 1,
	})
	require.Eventually(t, func() bool {
		return len(getJSON[loadReport](t, url+"/v1/load").Models[0].Adapters) == 1
	}, 5*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 2, fetches.Load())
	c, ok := nextChunk(t, bufio.NewScanner(call(t, http.MethodPost, url+"/v1/completions", body).Body))
	require.True(t, ok)
	require.Equal(t, "briefing@1+legal@4", c.Fingerprint)
}
