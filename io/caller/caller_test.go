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

func (f *fixture) client(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.url+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func completionParams(maxTokens int64) openai.CompletionNewParams {
	return openai.CompletionNewParams{
		Model: "m", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("hello")},
		MaxTokens:     openai.Int(maxTokens),
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: param.NewOpt(true)},
	}
}

func chatParams() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model: "m:a", Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: param.NewOpt(true)},
	}
}

// Guards against a response that the OpenAI client library reads differently, and against one that is incomplete after
// the loss of an engine.
func TestClientLibrary(t *testing.T) {
	tests := map[string]func(t *testing.T, c openai.Client) (text, finish string, tokens int64){
		"completion whole": func(t *testing.T, c openai.Client) (string, string, int64) {
			got, err := c.Completions.New(t.Context(), completionParams(100))
			require.NoError(t, err)
			return got.Choices[0].Text, string(got.Choices[0].FinishReason), got.Usage.TotalTokens
		},
		"completion streamed": func(t *testing.T, c openai.Client) (text, finish string, tokens int64) {
			stream := c.Completions.NewStreaming(t.Context(), completionParams(100))
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
			got, err := c.Chat.Completions.New(t.Context(), chatParams())
			require.NoError(t, err)
			require.EqualValues(t, "assistant", got.Choices[0].Message.Role)
			return got.Choices[0].Message.Content, got.Choices[0].FinishReason, got.Usage.TotalTokens
		},
		"chat streamed": func(t *testing.T, c openai.Client) (string, string, int64) {
			stream := c.Chat.Completions.NewStreaming(t.Context(), chatParams())
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
			f := newFixture(t)
			f.engines[0].breakAt = 4
			text, finish, tokens := run(t, f.client("north-key"))
			require.Equal(t, outputText(0, totalTokens), text)
			require.Equal(t, "stop", finish)
			require.EqualValues(t, 3+totalTokens, tokens)
			require.Equal(t, []uint32{1, 2, 3, 100, 101, 102, 103}, f.engines[1].prompts[0])
			require.EqualValues(t, 1, f.server.Metrics.Value(telemetry.Attempts, "resume"))
			require.EqualValues(t, 1, f.server.Metrics.Value(telemetry.EngineLosses, "connection"))
			// The request is counted after its last byte has been sent, so the caller may be ahead of the counter.
			require.Eventually(t, func() bool {
				return f.server.Metrics.Value(telemetry.Requests, "ok") == 1
			}, 10*time.Second, time.Millisecond)
			var out strings.Builder
			f.server.Metrics.WritePrometheus(&out)
			for _, name := range []string{telemetry.TimeToFirstToken, telemetry.TokenGap, telemetry.ResumeLatency} {
				require.Contains(t, out.String(), name+`_seconds_count{workspace="north"}`)
			}
		})
	}
}

// Guards against a max_tokens limit that starts again at zero after a loss.
func TestLengthAfterLoss(t *testing.T) {
	f := newFixture(t)
	f.engines[0].breakAt = 4
	client := f.client("north-key")
	got, err := client.Completions.New(t.Context(), completionParams(6))
	require.NoError(t, err)
	require.Equal(t, outputText(0, 6), got.Choices[0].Text)
	require.EqualValues(t, "length", got.Choices[0].FinishReason)
}

// Guards against a buffered response that mixes the output of two generations, and against its failure when a new
// generation can be started instead.
func TestWholeResponseStartsOver(t *testing.T) {
	f := newFixture(t)
	f.engines[0].breakAt, f.engines[0].specAfterLoss, f.engines[1].spec = 4, "m@2", "m@2"
	client := f.client("north-key")
	got, err := client.Completions.New(t.Context(), completionParams(100))
	require.NoError(t, err)
	require.Equal(t, outputText(0, totalTokens), got.Choices[0].Text)
	require.Contains(t, got.RawJSON(), `"system_fingerprint":"m@2"`)
}

// Guards against a request header of unbounded size.
func TestHeaderLimit(t *testing.T) {
	f := newFixture(t)
	response := f.post(t, "north", strings.Repeat("x", 80<<10), "{}")
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
}

// Guards against an incomplete stream that a client takes for a complete one.
func TestStreamEndsWithError(t *testing.T) {
	f := newFixture(t)
	f.engines[0].breakAt, f.engines[1].breakAt = 4, 4
	f.server.TakeRetry = func(string) bool { return false }
	client := f.client("north-key")
	stream := client.Completions.NewStreaming(t.Context(), completionParams(100))
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Text
	}
	require.ErrorContains(t, stream.Err(), "engine-lost")
	require.Equal(t, outputText(0, 4), text)
}

// Guards against an error that the client library cannot read or that makes it repeat the request, and against a
// rejected request that reaches an engine.
func TestErrorBodies(t *testing.T) {
	two := completionParams(5)
	two.N = openai.Int(2)
	other := completionParams(5)
	other.Model = "absent"
	none := completionParams(0)
	large := completionParams(5)
	large.Prompt.OfString = openai.String(strings.Repeat("x", 5<<20))
	tests := []struct {
		name        string
		key         string
		params      openai.CompletionNewParams
		noEndpoints bool
		status      int
		code        string
	}{
		{name: "key", key: "x", params: completionParams(5), status: 401, code: "unauthorized"},
		{name: "n", key: "north-key", params: two, status: 400, code: "unsupported-parameter"},
		{name: "model", key: "north-key", params: other, status: 404, code: "model-not-found"},
		{name: "max_tokens", key: "north-key", params: none, status: 400, code: "bad-request"},
		{name: "body", key: "north-key", params: large, status: 413, code: "body-too-large"},
		{name: "overload", key: "busy-key", params: completionParams(5), status: 429, code: "overloaded"},
		{name: "no endpoint", key: "north-key", params: completionParams(5), noEndpoints: true, status: 503,
			code: "no-endpoint"},
	}
	f := newFixture(t)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f.noEndpoints = tt.noEndpoints
			client := f.client(tt.key)
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
	require.Zero(t, f.engines[0].opens+f.engines[1].opens)
}

// Guards against a model list or a health check that clients and load balancers cannot read.
func TestModelsAndHealth(t *testing.T) {
	f := newFixture(t)
	client := f.client("north-key")
	page, err := client.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, page.Data, 2)
	require.Equal(t, "m:a", page.Data[1].ID)
	f.server.Ready = func() bool { return false }
	for path, status := range map[string]int{"/livez": 200, "/readyz": 503, "/absent": 404} {
		response, err := http.Get(f.url + path)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, status, response.StatusCode, path)
	}
}
