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

// Answer is a streamed completion as its caller received it.
type Answer struct {
	ID     string
	Spec   string
	Text   string
	Tokens []uint32
	Finish string
}

// Prompt returns the token ids that the stand-in engine gives a text prompt.
func (Answer) Prompt(text string) []uint32 { return engine.Tokenize(text) }

// Collect reads a stream to its end, which must be without an error.
func Collect(t testing.TB, stream *ssestream.Stream[openai.Completion]) Answer {
	t.Helper()
	var a Answer
	for {
		a.add(t, stream.Current())
		if !stream.Next() {
			break
		}
	}
	require.NoError(t, stream.Err())
	return a
}

func (a *Answer) add(t testing.TB, chunk openai.Completion) {
	t.Helper()
	if len(chunk.Choices) == 0 {
		return
	}
	choice := chunk.Choices[0]
	var tokens []uint32
	require.NoError(t, json.Unmarshal([]byte(choice.JSON.ExtraFields["token_ids"].Raw()), &tokens))
	a.ID, a.Spec = chunk.ID, chunk.SystemFingerprint
	a.Text += choice.Text
	a.Tokens = append(a.Tokens, tokens...)
	a.Finish = string(choice.FinishReason)
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

// Runs returns how often the service runners ran a call by its key.
func (d *Deployment) Runs(t testing.TB, key string) int {
	t.Helper()
	total := 0
	for _, p := range d.services {
		var answer struct {
			Runs map[string]int `json:"runs"`
		}
		Get(t, p, "/runs", &answer)
		total += answer.Runs[key]
	}
	return total
}
