package caller

import (
	"encoding/json"

	"radishhollow/core/generation"
)

// responseBody is a complete response or one chunk of a stream, in the format of the OpenAI API.
type responseBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Spec    string   `json:"system_fingerprint,omitempty"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index    int                `json:"index"`
	Text     *string            `json:"text,omitempty"`
	Message  *responseMessage   `json:"message,omitempty"`
	Delta    *responseMessage   `json:"delta,omitempty"`
	TokenIDs []uint32           `json:"token_ids"`
	Logprobs *struct{}          `json:"logprobs"` // always null, because logprobs are not supported
	Finish   *generation.Finish `json:"finish_reason"`
}

type responseMessage struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func chunkBody(r *request, chunk generation.Chunk) []byte {
	response := newResponseBody(r, chunk.Generation(), chunk.Spec())
	c := newChoice(chunk.Tokens(), chunk.Finish())
	text := chunk.Text()
	if !r.chat {
		c.Text = &text
	} else {
		response.Object = "chat.completion.chunk"
		c.Delta = &responseMessage{}
		if chunk.Offset() == 0 {
			c.Delta.Role = "assistant"
		}
		if text != "" {
			c.Delta.Content = &text
		}
	}
	response.Choices = []choice{c}
	return marshalResponse(response)
}

func completeBody(r *request, log *generation.Log) []byte {
	response := newResponseBody(r, log.Generation(), log.Spec())
	c := newChoice(log.Delivered(), log.Finish())
	text := log.Text()
	if r.chat {
		response.Object = "chat.completion"
		c.Message = &responseMessage{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	response.Choices = []choice{c}
	response.Usage = newUsage(log)
	return marshalResponse(response)
}

// usageBody returns the last chunk of a stream with include_usage. It has no choices.
func usageBody(r *request, log *generation.Log) []byte {
	response := newResponseBody(r, log.Generation(), log.Spec())
	if r.chat {
		response.Object = "chat.completion.chunk"
	}
	response.Choices = []choice{}
	response.Usage = newUsage(log)
	return marshalResponse(response)
}

func newResponseBody(r *request, id string, spec generation.Spec) responseBody {
	return responseBody{
		ID: id, Object: "text_completion", Created: r.arrivedAt.Unix(), Model: r.modelName(), Spec: spec.String(),
	}
}

func newChoice(tokens []uint32, finish generation.Finish) choice {
	c := choice{TokenIDs: tokens}
	if tokens == nil {
		c.TokenIDs = []uint32{}
	}
	if finish != generation.NotFinished {
		c.Finish = &finish
	}
	return c
}

func newUsage(log *generation.Log) *usage {
	return &usage{Prompt: log.PromptLen(), Completion: log.Len(), Total: log.PromptLen() + log.Len()}
}

func marshalResponse(response responseBody) []byte {
	// Marshaling cannot fail, because the body holds only strings and integers.
	data, _ := json.Marshal(response)
	return data
}
