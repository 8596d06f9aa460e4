// Package test checks complete deployments of real processes under failures.
package test

import (
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
	"radishhollow/test/harness"
)

// startDeployment starts a deployment, applies its first sheet and waits until all daemons are ready.
func startDeployment(t *testing.T, d *harness.Deployment, rows ...string) *harness.Deployment {
	t.Helper()
	d.Start(t)
	d.ApplySheet(t, 0, d.Sheet(1, rows...))
	for i := range d.Daemons {
		d.AwaitReady(t, i)
	}
	return d
}

// Guards against components that work only with the fakes of their unit tests. The unmodified client library, the
// daemons and the stand-ins run in separate processes with an applied sheet.
func TestWholePath(t *testing.T) {
	d := startDeployment(t, harness.NewDeployment())
	client := d.Client(1, "large")
	stream := client.Completions.NewStreaming(t.Context(), openai.CompletionNewParams{
		Model:     "briefing",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("inspect gate nine")},
		MaxTokens: openai.Int(40),
	})
	completion := harness.CollectCompletion(t, stream)
	require.Equal(t, "length", completion.FinishReason)
	require.Len(t, completion.Tokens, 40)
	require.NoError(t, engine.Verify("briefing@1", completion.PromptTokens("inspect gate nine"), completion.Tokens))

	chat, err := client.Chat.Completions.New(t.Context(), openai.ChatCompletionNewParams{
		Model:               "briefing",
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage("write the crew briefing")},
		MaxCompletionTokens: openai.Int(20),
	})
	require.NoError(t, err)
	require.NotEmpty(t, chat.Choices[0].Message.Content)
	require.EqualValues(t, 20, chat.Usage.CompletionTokens)

	first, body, err := d.CallService(t, 0, http.MethodPost, "/deliveries", "drum-1", []byte("two drums"))
	require.NoError(t, err)
	require.Equal(t, "ran", first.Header.Get("Outcome"))
	second, replay, err := d.CallService(t, 1, http.MethodPost, "/deliveries", "drum-1", []byte("two drums"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, second.StatusCode)
	require.Equal(t, body, replay)
	require.Equal(t, 1, d.Runs(t, "drum-1"))
}

// Guards against a graceful shutdown that breaks off a stream in flight.
func TestPlannedStopWaits(t *testing.T) {
	d := startDeployment(t, harness.NewDeployment())
	client := d.Client(0, "large")
	stream := client.Completions.NewStreaming(t.Context(), openai.CompletionNewParams{
		Model:     "briefing",
		Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("long report")},
		MaxTokens: openai.Int(100),
	})
	require.True(t, stream.Next())
	d.Daemon(0).Terminate()
	completion := harness.CollectCompletion(t, stream)
	require.Equal(t, "length", completion.FinishReason)
	require.Zero(t, d.Daemon(0).Wait(t, 20*time.Second))
}
