package caller_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	openai "github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/openai/openai-go/v3/packages/param"
	"github.com/stretchr/testify/require"

	"radishhollow/io/telemetry"
)

func (s *setup) client(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(s.url+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func completion(limit int64) openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		MaxTokens:     openai.Int(limit),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: param.NewOpt(true)},
	}
}

func chat() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "m:a", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: param.NewOpt(true)},
	}
}

// Guards against an answer that the published client library reads differently, and against one that is not whole
// after an engine has died.
func TestClientLibrary(t *testing.T) {
	tests := map[string]func(t *testing.T, c openai.Client) (text, finish string, tokens int64){
		"completion whole": func(t *testing.T, c openai.Client) (string, string, int64) {
			got, err := c.Completions.New(t.Context(), completion(100))
			require.NoError(t, err)
			return got.Choices[0].Text, string(got.Choices[0].FinishReason), got.Usage.TotalTokens
		},
		"completion streamed": func(t *testing.T, c openai.Client) (text, finish string, tokens int64) {
			stream := c.Completions.NewStreaming(t.Context(), completion(100))
			for stream.Next() {
				for _, choice := range stream.Current().Choices {
					text += choice.Text
					finish = string(choice.FinishReason)
				}
				tokens = stream.Current().Usage.TotalTokens
			}
			require.NoError(t, stream.Err())
			return text, finish, tokens
		},
		"chat whole": func(t *testing.T, c openai.Client) (string, string, int64) {
			got, err := c.Chat.Completions.New(t.Context(), chat())
			require.NoError(t, err)
			require.EqualValues(t, "assistant", got.Choices[0].Message.Role)
			return got.Choices[0].Message.Content, got.Choices[0].FinishReason, got.Usage.TotalTokens
		},
		"chat streamed": func(t *testing.T, c openai.Client) (string, string, int64) {
			stream := c.Chat.Completions.NewStreaming(t.Context(), chat())
			var all openai.ChatCompletionAccumulator
			for stream.Next() {
				require.EqualValues(t, "chat.completion.chunk", stream.Current().Object)
				require.True(t, all.AddChunk(stream.Current()))
			}
			require.NoError(t, stream.Err())
			require.EqualValues(t, "assistant", all.Choices[0].Message.Role)
			return all.Choices[0].Message.Content, all.Choices[0].FinishReason, all.Usage.TotalTokens
		},
	}
	for name, run := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			s.engines[0].dieAt = 4
			text, finish, tokens := run(t, s.client("north-key"))
			require.Equal(t, words(0, total), text)
			require.Equal(t, "stop", finish)
			require.EqualValues(t, 3+total, tokens)
			require.Equal(t, []uint32{1, 2, 3, 100, 101, 102, 103}, s.engines[1].prompts[0])
			require.EqualValues(t, 1, s.server.Metrics.Value(telemetry.Attempts, "resume"))
			require.EqualValues(t, 1, s.server.Metrics.Value(telemetry.EngineLosses, "connection"))
			// The request is counted after its last byte, so its caller may be ahead of the counter.
			require.Eventually(t, func() bool {
				return s.server.Metrics.Value(telemetry.Requests, "ok") == 1
			}, 10*time.Second, time.Millisecond)
			var out strings.Builder
			s.server.Metrics.WritePrometheus(&out)
			for _, name := range []string{telemetry.TimeToFirstToken, telemetry.TokenGap, telemetry.ResumeLatency} {
				require.Contains(t, out.String(), name+`_seconds_count{workspace="north"}`)
			}
		})
	}
}

// Guards against a limit that is counted anew after a loss.
func TestLengthAfterLoss(t *testing.T) {
	s := newSetup(t)
	s.engines[0].dieAt = 4
	client := s.client("north-key")
	got, err := client.Completions.New(t.Context(), completion(6))
	require.NoError(t, err)
	require.Equal(t, words(0, 6), got.Choices[0].Text)
	require.EqualValues(t, "length", got.Choices[0].FinishReason)
}

// Guards against a whole answer made of two generations, and against its loss when it can start over.
func TestWholeAnswerStartsOver(t *testing.T) {
	s := newSetup(t)
	s.engines[0].dieAt, s.engines[0].next, s.engines[1].spec = 4, "m@2", "m@2"
	client := s.client("north-key")
	got, err := client.Completions.New(t.Context(), completion(100))
	require.NoError(t, err)
	require.Equal(t, words(0, total), got.Choices[0].Text)
	require.Contains(t, got.RawJSON(), `"system_fingerprint":"m@2"`)
}

// Guards against headers of unbounded size.
func TestHeaderLimit(t *testing.T) {
	s := newSetup(t)
	response := s.post(t, "north", strings.Repeat("x", 80<<10), "{}")
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}

// Guards against an unfinished stream that a client takes for a finished one.
func TestStreamEndsWithError(t *testing.T) {
	s := newSetup(t)
	s.engines[0].dieAt, s.engines[1].dieAt = 4, 4
	s.server.MayRetry = func(string) bool { return false }
	client := s.client("north-key")
	stream := client.Completions.NewStreaming(t.Context(), completion(100))
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Text
	}
	require.ErrorContains(t, stream.Err(), "engine-lost")
	require.Equal(t, words(0, 4), text)
}

// Guards against an error that the client library cannot read or that repeats the request by itself.
func TestErrorBodies(t *testing.T) {
	two := completion(5)
	two.N = openai.Int(2)
	other := completion(5)
	other.Model = "absent"
	none := completion(0)
	large := completion(5)
	large.Prompt.OfString = openai.String(strings.Repeat("x", 5<<20))
	tests := []struct {
		name   string
		key    string
		params openai.CompletionNewParams
		gone   bool
		status int
		code   string
	}{
		{name: "key", key: "x", params: completion(5), status: 401, code: "unauthorized"},
		{name: "n", key: "north-key", params: two, status: 400, code: "unsupported-parameter"},
		{name: "model", key: "north-key", params: other, status: 404, code: "model-not-found"},
		{name: "max_tokens", key: "north-key", params: none, status: 400, code: "bad-request"},
		{name: "body", key: "north-key", params: large, status: 413, code: "body-too-large"},
		{name: "overload", key: "busy-key", params: completion(5), status: 429, code: "overloaded"},
		{name: "no endpoint", key: "north-key", params: completion(5), gone: true, status: 503, code: "no-endpoint"},
	}
	s := newSetup(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s.gone = tt.gone
			client := s.client(tt.key)
			_, err := client.Completions.New(t.Context(), tt.params)
			var got *openai.Error
			require.ErrorAs(t, err, &got)
			require.Equal(t, tt.status, got.StatusCode)
			require.Equal(t, tt.code, got.Code)
			require.NotEmpty(t, got.Message)
			require.Contains(t, got.RawJSON(), `"outcome":"not-run"`)
			if tt.code == "overloaded" {
				require.Equal(t, "2", got.Response.Header.Get("Retry-After"))
			}
		})
	}
	require.Zero(t, s.engines[0].opens+s.engines[1].opens)
}

// Guards against a model list or a health check that clients and load balancers cannot read.
func TestModelsAndHealth(t *testing.T) {
	s := newSetup(t)
	client := s.client("north-key")
	page, err := client.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, page.Data, 2)
	require.Equal(t, "m:a", page.Data[1].ID)
	s.server.Ready = func() bool { return false }
	for path, status := range map[string]int{"/livez": 200, "/readyz": 503, "/absent": 404} {
		response, err := http.Get(s.url + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, status, response.StatusCode, path)
	}
}
