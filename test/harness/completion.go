package harness

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/packages/ssestream"
	"github.com/stretchr/testify/require"

	"radishhollow/standin/engine"
)

// Completion is a streamed completion as received by its caller.
type Completion struct {
	ID string
	// Spec identifies the weights, such as briefing@1.
	Spec         string
	Text         string
	Tokens       []uint32
	FinishReason string
}

// PromptTokens returns the token ids of a text prompt, as the stand-in engine tokenizes it.
func (Completion) PromptTokens(text string) []uint32 { return engine.Tokenize(text) }

// CollectCompletion reads a stream to its end and fails the test if the stream ends with an error. The result includes
// the current chunk of a stream on which Next has been called before, but no earlier chunks.
func CollectCompletion(t testing.TB, stream *ssestream.Stream[openai.Completion]) Completion {
	t.Helper()
	var c Completion
	for {
		c.addChunk(t, stream.Current())
		if !stream.Next() {
			break
		}
	}
	require.NoError(t, stream.Err())
	return c
}

func (c *Completion) addChunk(t testing.TB, chunk openai.Completion) {
	t.Helper()
	if len(chunk.Choices) == 0 {
		return
	}
	choice := chunk.Choices[0]
	var tokens []uint32
	require.NoError(t, json.Unmarshal([]byte(choice.JSON.ExtraFields["token_ids"].Raw()), &tokens))
	c.ID, c.Spec = chunk.ID, chunk.SystemFingerprint
	c.Text += choice.Text
	c.Tokens = append(c.Tokens, tokens...)
	c.FinishReason = string(choice.FinishReason)
}

// AwaitReady waits until daemon i is ready.
func (d *Deployment) AwaitReady(t testing.TB, i int) {
	t.Helper()
	require.Eventuallyf(t, func() bool {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+d.settings[i].Listen+"/readyz", nil)
		require.NoError(t, err)
		resp, err := (&http.Client{Timeout: callTimeout}).Do(req)
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
	}, 30*time.Second, 20*time.Millisecond, "daemon %d is not ready", i)
}

// Runs returns the number of executions that the service runners counted under an idempotency key or a Test-Id.
func (d *Deployment) Runs(t testing.TB, key string) int {
	t.Helper()
	total := 0
	for _, p := range d.services {
		var response struct {
			Runs map[string]int `json:"runs"`
		}
		GetJSON(t, p, "/runs", &response)
		total += response.Runs[key]
	}
	return total
}
