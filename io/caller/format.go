package caller

import (
	"encoding/json"

	"radishhollow/core/generation"
)

// answer is a body of the published formats, whole or one chunk.
type answer struct {
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
	Message  *content           `json:"message,omitempty"`
	Delta    *content           `json:"delta,omitempty"`
	TokenIDs []uint32           `json:"token_ids"`
	Logprobs *struct{}          `json:"logprobs"`
	Finish   *generation.Finish `json:"finish_reason"`
}

type content struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

func chunkBody(r *request, part generation.Chunk) []byte {
	a := head(r, part.Generation(), part.Spec())
	c := choiceOf(part.Tokens(), part.Finish())
	text := part.Text()
	if !r.chat {
		c.Text = &text
	} else {
		a.Object = "chat.completion.chunk"
		c.Delta = &content{}
		if part.Offset() == 0 {
			c.Delta.Role = "assistant"
		}
		if text != "" {
			c.Delta.Content = &text
		}
	}
	a.Choices = []choice{c}
	return encode(a)
}

func wholeBody(r *request, log *generation.Log) []byte {
	a := head(r, log.Generation(), log.Spec())
	c := choiceOf(log.Delivered(), log.Finish())
	text := log.Text()
	if r.chat {
		a.Object = "chat.completion"
		c.Message = &content{Role: "assistant", Content: &text}
	} else {
		c.Text = &text
	}
	a.Choices = []choice{c}
	a.Usage = usageOf(log)
	return encode(a)
}

// usageBody returns the last chunk of a stream with include_usage, which has no choices.
func usageBody(r *request, log *generation.Log) []byte {
	a := head(r, log.Generation(), log.Spec())
	if r.chat {
		a.Object = "chat.completion.chunk"
	}
	a.Choices = []choice{}
	a.Usage = usageOf(log)
	return encode(a)
}

func head(r *request, id string, spec generation.Spec) answer {
	return answer{
		ID: id, Object: "text_completion", Created: r.arrived.Unix(), Model: r.name(), Spec: spec.String(),
	}
}

func choiceOf(tokens []uint32, finish generation.Finish) choice {
	c := choice{TokenIDs: tokens}
	if tokens == nil {
		c.TokenIDs = []uint32{}
	}
	if finish != generation.NotFinished {
		c.Finish = &finish
	}
	return c
}

func usageOf(log *generation.Log) *usage {
	return &usage{Prompt: log.PromptLen(), Completion: log.Len(), Total: log.PromptLen() + log.Len()}
}

func encode(a answer) []byte {
	// The body holds only strings and integers, so that encoding cannot fail.
	data, _ := json.Marshal(a)
	return data
}
