package caller

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"

	"radishhollow/core/config"
	"radishhollow/core/generation"
	"radishhollow/io/engine"
)

// requestBody holds the OpenAI API's parameters of completions and chat completions.
type requestBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Temperature         *float64        `json:"temperature"`
	TopP                *float64        `json:"top_p"`
	Seed                *int64          `json:"seed"`
	Stop                json.RawMessage `json:"stop"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N              *int            `json:"n"`
	BestOf         *int            `json:"best_of"`
	Echo           bool            `json:"echo"`
	Suffix         *string         `json:"suffix"`
	Logprobs       json.RawMessage `json:"logprobs"`
	Tools          []any           `json:"tools"`
	ResponseFormat *struct {
		Type string `json:"type"`
	} `json:"response_format"`
	ResumeTokenIDs []uint32 `json:"resume_token_ids"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// request is a validated request for one generation.
type request struct {
	// begun is set when a streamed response begins.
	begun         atomic.Bool
	chat          bool
	model         string
	adapter       string
	text          engine.TokenizeInput
	prompt        []uint32 // nil until the text is tokenized
	sampling      generation.Sampling
	stream        bool
	includeUsage  bool
	deliveredIDs  []uint32 // the token ids delivered up to encodedCursor, if the caller sent them
	encodedCursor string
	decodedCursor generation.Cursor // the verified content of encodedCursor
	arrivedAt     time.Time
}

func (r *request) modelName() string {
	if r.adapter == "" {
		return r.model
	}
	return r.model + ":" + r.adapter
}

// cost estimates the number of tokens of the request. It counts four bytes of text as one token.
func (r *request) cost() int {
	size := len(r.text.Prompt)
	for _, m := range r.text.Messages {
		size += len(m.Content)
	}
	return len(r.prompt) + size/4 + r.sampling.MaxTokens
}

func readBody(c *gin.Context, limit int64) (requestBody, error) {
	controller := http.NewResponseController(c.Writer)
	// The deadline applies to the body only. If it passed during the response, it would end the request's context.
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	_ = controller.SetReadDeadline(time.Time{})
	if _, large := errors.AsType[*http.MaxBytesError](err); large {
		return requestBody{}, BodyTooLargeError{Limit: limit}
	}
	if err != nil {
		return requestBody{}, BadRequestError{Param: "body", Reason: "cannot be read"}
	}
	var b requestBody
	if err := json.Unmarshal(data, &b); err != nil {
		if field, ok := errors.AsType[*json.UnmarshalTypeError](err); ok && field.Field != "" {
			return requestBody{}, BadRequestError{Param: field.Field, Reason: "has the wrong type"}
		}
		return requestBody{}, BadRequestError{Param: "body", Reason: "is not valid JSON"}
	}
	return b, nil
}

func (s *Server) parse(c *gin.Context, chat bool) (*request, error) {
	r := &request{chat: chat, arrivedAt: time.Now(), encodedCursor: c.GetHeader("Last-Event-ID")}
	b, err := readBody(c, int64(cmp.Or(s.MaxBodyBytes, DefaultMaxBodyBytes)))
	if err != nil {
		return nil, err
	}
	if err := b.checkSupported(); err != nil {
		return nil, err
	}
	r.stream, r.includeUsage, r.deliveredIDs = b.Stream, b.StreamOptions.IncludeUsage, b.ResumeTokenIDs
	if r.encodedCursor != "" && !r.stream {
		return nil, BadRequestError{Param: "Last-Event-ID", Reason: "requires a streamed response"}
	}
	if err := r.setModel(s.Document(), b.Model); err != nil {
		return nil, err
	}
	if r.sampling, err = b.sampling(cmp.Or(s.DefaultMaxTokens, defaultMaxTokens)); err != nil {
		return nil, err
	}
	r.text.Model = r.modelName()
	if chat {
		r.text.Messages, err = parseMessages(b.Messages)
		return r, err
	}
	r.text.Prompt, r.prompt, err = parsePrompt(b.Prompt)
	return r, err
}

func (r *request) setModel(document config.Document, name string) error {
	model, adapter, named := strings.Cut(name, ":")
	m, ok := document.Model(model)
	if !ok || named && !hasAdapter(m, adapter) {
		return ModelNotFoundError{Model: name}
	}
	r.model, r.adapter = model, adapter
	return nil
}

func hasAdapter(m config.Model, name string) bool {
	for _, a := range m.Adapters {
		if a.Name == name {
			return true
		}
	}
	return false
}

// checkSupported rejects unsupported parameters that would change the response if they were ignored.
func (b *requestBody) checkSupported() error {
	logprobs := string(b.Logprobs)
	for _, check := range []struct {
		unsupported bool
		param       string
	}{
		{b.N != nil && *b.N != 1, "n"},
		{b.BestOf != nil && *b.BestOf != 1, "best_of"},
		{b.Echo, "echo"},
		{b.Suffix != nil && *b.Suffix != "", "suffix"},
		{logprobs != "" && logprobs != "null" && logprobs != "false", "logprobs"},
		{len(b.Tools) > 0, "tools"},
		{b.ResponseFormat != nil && b.ResponseFormat.Type != "text", "response_format"},
	} {
		if check.unsupported {
			return UnsupportedError{Param: check.param}
		}
	}
	return nil
}

func (b *requestBody) sampling(defaultTokens int) (generation.Sampling, error) {
	sampling := generation.Sampling{MaxTokens: defaultTokens, Temperature: b.Temperature, TopP: b.TopP, Seed: b.Seed}
	for _, limit := range []*int{b.MaxTokens, b.MaxCompletionTokens} {
		if limit != nil {
			sampling.MaxTokens = *limit
		}
	}
	if sampling.MaxTokens < 1 || sampling.MaxTokens > maxTokensLimit {
		return sampling, BadRequestError{Param: "max_tokens", Reason: "is out of range"}
	}
	if b.Temperature != nil && (*b.Temperature < 0 || *b.Temperature > 2) {
		return sampling, BadRequestError{Param: "temperature", Reason: "is not between 0 and 2"}
	}
	if b.TopP != nil && (*b.TopP < 0 || *b.TopP > 1) {
		return sampling, BadRequestError{Param: "top_p", Reason: "is not between 0 and 1"}
	}
	var err error
	sampling.Stop, err = parseStop(b.Stop)
	return sampling, err
}

func parseStop(data json.RawMessage) ([]string, error) {
	if len(data) == 0 || string(data) == "null" {
		return nil, nil
	}
	var single string
	if json.Unmarshal(data, &single) == nil {
		return []string{single}, nil
	}
	var list []string
	if json.Unmarshal(data, &list) != nil || len(list) > 4 {
		return nil, BadRequestError{Param: "stop", Reason: "is neither a string nor a list of up to 4 strings"}
	}
	return list, nil
}

// parsePrompt accepts a string, a list of token ids, or a list with one of these as its only element.
func parsePrompt(data json.RawMessage) (text string, ids []uint32, err error) {
	if json.Unmarshal(data, &text) == nil && text != "" {
		return text, nil, nil
	}
	if json.Unmarshal(data, &ids) == nil && len(ids) > 0 {
		return "", ids, nil
	}
	var list []json.RawMessage
	// A list that starts with a negative number holds invalid token ids, not several prompts.
	if json.Unmarshal(data, &list) != nil || len(list) == 0 || bytes.HasPrefix(list[0], []byte("-")) {
		return "", nil, BadRequestError{Param: "prompt", Reason: "is neither a string nor a list of token ids"}
	}
	if len(list) > 1 {
		// Several prompts in one request are not supported.
		return "", nil, UnsupportedError{Param: "prompt"}
	}
	if json.Unmarshal(list[0], &text) == nil && text != "" {
		return text, nil, nil
	}
	if json.Unmarshal(list[0], &ids) == nil && len(ids) > 0 {
		return "", ids, nil
	}
	return "", nil, BadRequestError{Param: "prompt", Reason: "is neither a string nor a list of token ids"}
}

// parseMessages accepts messages whose content is a string or a list of text parts.
func parseMessages(in []message) ([]engine.Message, error) {
	if len(in) == 0 {
		return nil, BadRequestError{Param: "messages", Reason: "is empty"}
	}
	out := make([]engine.Message, len(in))
	for i, m := range in {
		out[i].Role = m.Role
		if m.Role == "" {
			return nil, BadRequestError{Param: "messages", Reason: "has a message without a role"}
		}
		if json.Unmarshal(m.Content, &out[i].Content) == nil {
			continue
		}
		var parts []struct {
			Type string `json:"type"`
			Text string `json:"text"`
		}
		if json.Unmarshal(m.Content, &parts) != nil {
			return nil, BadRequestError{
				Param: "messages", Reason: "has a message whose content is neither a string nor a list of parts",
			}
		}
		for _, p := range parts {
			if p.Type != "text" {
				return nil, UnsupportedError{Param: "messages"}
			}
			out[i].Content += p.Text
		}
	}
	return out, nil
}
