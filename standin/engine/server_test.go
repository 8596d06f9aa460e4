package engine_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
)

const spec = "briefing@1"

var zeroBlockHash = xxhash.Sum64(make([]byte, 72))

type chunk struct {
	ID          string `json:"id"`
	Fingerprint string `json:"system_fingerprint"`
	Attempt     int    `json:"attempt"`
	Offset      int    `json:"offset"`
	Choices     []struct {
		TokenIDs     []uint32 `json:"token_ids"`
		FinishReason string   `json:"finish_reason"`
	} `json:"choices"`
}

// start runs an engine with short delays, whose outputs stop only at max_tokens, and returns its URL.
func start(t *testing.T, change func(*engine.Server)) string {
	s := engine.New()
	s.Models = []engine.Model{{Name: "briefing", Version: "1"}}
	s.TokenGap, s.TokenGapPerStream, s.MaxNaturalLength = 2*time.Millisecond, 0, 0
	s.ReportLag, s.EventLag, s.EventLossRate, s.LoadTime = 10*time.Millisecond, 0, 0, 0
	if change != nil {
		change(s)
	}
	ready := make(chan string, 1)
	s.Ready = func(address string) { ready <- address }
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return "http://" + <-ready
}

func call(t *testing.T, method, url string, body any) *http.Response {
	data, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(data))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func startCompletion(t *testing.T, url, id string, prompt []uint32, offset, attempt, maxTokens, priority int) *bufio.Scanner {
	resp := call(t, http.MethodPost, url+"/v1/completions", map[string]any{
		"model": "briefing", "prompt": prompt, "max_tokens": maxTokens, "request_id": id,
		"offset": offset, "attempt": attempt, "priority": priority,
	})
	require.Equal(t, http.StatusOK, resp.StatusCode)
	return bufio.NewScanner(resp.Body)
}

// nextChunk returns the next chunk, or false at the end marker or if the connection is closed.
func nextChunk(t *testing.T, lines *bufio.Scanner) (chunk, bool) {
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return chunk{}, false
		}
		var c chunk
		require.NoError(t, json.Unmarshal([]byte(data), &c))
		return c, true
	}
	return chunk{}, false
}

// collect reads a stream to its end and returns all ids and the finish reason.
func collect(t *testing.T, lines *bufio.Scanner) (ids []uint32, finish string) {
	for {
		c, ok := nextChunk(t, lines)
		if !ok {
			return ids, finish
		}
		ids = append(ids, c.Choices[0].TokenIDs...)
		finish = c.Choices[0].FinishReason
	}
}

func getJSON[T any](t *testing.T, url string) T {
	var body T
	require.NoError(t, json.NewDecoder(call(t, http.MethodGet, url, nil).Body).Decode(&body))
	return body
}

// Guards against an engine that continues another engine's generation with other ids, or stops it at another length.
func TestResumeElsewhere(t *testing.T) {
	t.Parallel()
	stopAt20 := func(s *engine.Server) { s.MinNaturalLength, s.MaxNaturalLength = 20, 20 }
	a, b := start(t, stopAt20), start(t, stopAt20)
	prompt := engine.Tokenize("write a brief")
	lines := startCompletion(t, a, "g", prompt, 0, 1, 100, 0)
	c, ok := nextChunk(t, lines)
	require.True(t, ok)
	require.Equal(t, spec, c.Fingerprint)
	ids := c.Choices[0].TokenIDs
	rest, finish := collect(t, startCompletion(t, b, "g", append(prompt, ids...), len(ids), 2, 100-len(ids), 0))
	output := slices.Concat(ids, rest)
	require.Equal(t, "stop", finish)
	require.Len(t, output, 20)
	require.NoError(t, engine.Verify(spec, prompt, output))
	none, finish := collect(t, startCompletion(t, b, "g", append(prompt, output...), 20, 3, 80, 0))
	require.Empty(t, none)
	require.Equal(t, "stop", finish)
}

// Guards against an old attempt that keeps its connection, attaches again or cancels the stream of a newer attempt.
func TestAttempts(t *testing.T) {
	t.Parallel()
	url := start(t, nil)
	prompt := engine.Tokenize("write a brief")
	old := startCompletion(t, url, "g", prompt, 0, 1, 1000, 0)
	_, ok := nextChunk(t, old)
	require.True(t, ok)
	stream := url + "/v1/streams/g"
	require.Equal(t, http.StatusConflict, call(t, http.MethodGet, stream+"?attempt=1&offset=0", nil).StatusCode)
	resp := call(t, http.MethodGet, stream+"?attempt=2&offset=0", nil)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	_, finish := collect(t, old)
	require.Empty(t, finish)
	require.Error(t, old.Err())
	require.Equal(t, http.StatusConflict, call(t, http.MethodDelete, stream+"?attempt=1", nil).StatusCode)
	ids, finish := collect(t, bufio.NewScanner(resp.Body))
	require.Equal(t, "length", finish)
	require.Len(t, ids, 1000)
	require.NoError(t, engine.Verify(spec, prompt, ids))
	resp = call(t, http.MethodGet, stream+"?attempt=3&offset=1001", nil)
	ids, finish = collect(t, bufio.NewScanner(resp.Body))
	require.Empty(t, ids)
	require.Empty(t, finish)
	require.Equal(t, http.StatusNoContent, call(t, http.MethodDelete, stream+"?attempt=3", nil).StatusCode)
	require.Equal(t, http.StatusNotFound, call(t, http.MethodGet, stream+"?attempt=4&offset=0", nil).StatusCode)
	stats := getJSON[engine.Stats](t, url+"/stats")
	require.Equal(t, 2, stats.Attached)
	require.Equal(t, 1, stats.Cancelled)
	require.Equal(t, 1000, stats.GeneratedTokens)
}

// Guards against a wait queue that ignores priorities, which would hide faults in the order of resumed streams.
func TestPriority(t *testing.T) {
	t.Parallel()
	url := start(t, func(s *engine.Server) { s.Slots = 1 })
	prompt := engine.Tokenize("write a brief")
	busy := startCompletion(t, url, "busy", prompt, 0, 1, 500, 0)
	type completionEnd struct {
		id string
		at time.Time
	}
	ends := make(chan completionEnd, 2)
	for i, id := range []string{"late", "soon"} {
		lines := startCompletion(t, url, id, prompt, 0, 1, 10, 9-i)
		go func() {
			for lines.Scan() {
				continue
			}
			ends <- completionEnd{id: id, at: time.Now()}
		}()
	}
	_, _ = collect(t, busy)
	require.Equal(t, "soon", (<-ends).id)
	require.Equal(t, "late", (<-ends).id)
}

// Guards against injected faults that leave the chunks unchanged, which would make the tests that use them meaningless.
func TestChunkFaults(t *testing.T) {
	t.Parallel()
	tests := []struct {
		fault   string
		foreign int
		tokens  func(n int) bool
	}{
		{fault: "crossed", foreign: 1, tokens: func(n int) bool { return n == 50 }},
		{fault: "duplicate", tokens: func(n int) bool { return n > 50 }},
		{fault: "drop", tokens: func(n int) bool { return n < 50 }},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			url := start(t, nil)
			prompt := engine.Tokenize("write a brief")
			_, _ = collect(t, startCompletion(t, url, "other", prompt, 0, 1, 1, 0))
			resp := call(t, http.MethodPost, url+"/faults", map[string]any{tt.fault: 1})
			require.Equal(t, http.StatusNoContent, resp.StatusCode)
			lines := startCompletion(t, url, "g", prompt, 0, 1, 50, 0)
			foreign, tokens := 0, 0
			for c, ok := nextChunk(t, lines); ok; c, ok = nextChunk(t, lines) {
				if c.ID == "other" {
					foreign++
					continue
				}
				tokens += len(c.Choices[0].TokenIDs)
			}
			require.Equal(t, tt.foreign, foreign)
			require.True(t, tt.tokens(tokens), "got %d tokens", tokens)
		})
	}
}

// Guards against an engine that responds while it is frozen, or loses output during the freeze.
func TestFreezeAndWake(t *testing.T) {
	t.Parallel()
	url := start(t, nil)
	prompt := engine.Tokenize("write a brief")
	lines := startCompletion(t, url, "g", prompt, 0, 1, 100, 0)
	c, _ := nextChunk(t, lines)
	call(t, http.MethodPost, url+"/faults", map[string]any{"freeze": true})
	before := getJSON[engine.Stats](t, url+"/stats").GeneratedTokens
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/v1/load", http.NoBody)
	require.NoError(t, err)
	_, err = http.DefaultClient.Do(req)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.LessOrEqual(t, getJSON[engine.Stats](t, url+"/stats").GeneratedTokens, before+1)
	call(t, http.MethodPost, url+"/faults", map[string]any{"freeze": false})
	rest, _ := collect(t, lines)
	require.NoError(t, engine.Verify(spec, prompt, append(c.Choices[0].TokenIDs, rest...)))
}

// Guards against prompt ids that differ between the engine and the tests that verify its output.
func TestTokenize(t *testing.T) {
	t.Parallel()
	url := start(t, nil)
	messages := []engine.Message{{Role: "system", Content: "be brief"}, {Role: "user", Content: "write a brief"}}
	for _, tt := range []struct {
		body map[string]any
		want []uint32
	}{
		{body: map[string]any{"prompt": "write a brief"}, want: engine.Tokenize("write a brief")},
		{body: map[string]any{"messages": messages}, want: engine.TokenizeChat(messages)},
	} {
		var response struct {
			Tokens []uint32
			Count  int
		}
		resp := call(t, http.MethodPost, url+"/tokenize", tt.body)
		require.NoError(t, json.NewDecoder(resp.Body).Decode(&response))
		require.Equal(t, tt.want, response.Tokens)
		require.Len(t, tt.want, response.Count)
	}
}
