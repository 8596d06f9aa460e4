package bench

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"radishhollow/standin/engine"
)

// Caller sends requests to daemons as one workspace.
type Caller struct {
	Key  string
	HTTP *http.Client
}

// NewHTTP returns a client without retries for many concurrent callers.
func NewHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// Generation is a streamed answer as its caller saw it.
type Generation struct {
	Prompt []uint32
	Tokens []uint32
	Spec   string
	Finish string
	Cursor string
	// First is the wait for the first token, Longest the longest wait between two events after it.
	First   time.Duration
	Longest time.Duration
	// Waits are the waits between events after the first.
	Waits []time.Duration
	// Code and Outcome are those of a typed error; Code is empty without one.
	Code    string
	Outcome string
	Status  int
	// Done is set by the published end mark.
	Done bool
	// Observe is called after each event with tokens or a finish reason; it may be nil.
	Observe func(g *Generation)
}

// Check compares a finished answer with the stand-in's model.
func (g Generation) Check(maxTokens int) error {
	if g.Finish == "length" && len(g.Tokens) != maxTokens {
		return LengthError{Want: maxTokens, Got: len(g.Tokens)}
	}
	return engine.Verify(g.Spec, g.Prompt, g.Tokens)
}

// Generate streams one completion. The error is of the transport; typed errors are in the result.
func (c Caller) Generate(ctx context.Context, address, model string, prompt []uint32, maxTokens int) (Generation, error) {
	g := Generation{Prompt: prompt}
	err := c.resume(ctx, address, model, &g, maxTokens)
	return g, err
}

// Resume repeats the request of an interrupted answer with its last cursor and the token ids that it holds.
func (c Caller) Resume(ctx context.Context, address, model string, g *Generation, maxTokens int) error {
	return c.resume(ctx, address, model, g, maxTokens)
}

func (c Caller) resume(ctx context.Context, address, model string, g *Generation, maxTokens int) error {
	body := map[string]any{"model": model, "prompt": g.Prompt, "max_tokens": maxTokens, "stream": true}
	if g.Cursor != "" {
		body["resume_token_ids"] = g.Tokens
	}
	req, err := c.request(ctx, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return err
	}
	if g.Cursor != "" {
		req.Header.Set("Last-Event-ID", g.Cursor)
	}
	began := time.Now()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	g.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		g.fail(data)
		return err
	}
	return g.read(resp.Body, began)
}

// read takes the stream's events until its end.
func (g *Generation) read(stream io.Reader, began time.Time) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, 1<<20)
	last, failed := began, false
	for lines.Scan() {
		line := lines.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			g.Cursor = line[len("id: "):]
		case line == "event: error":
			failed = true
		case line == "data: [DONE]":
			g.Done = true
		case strings.HasPrefix(line, "data: ") && failed:
			g.fail([]byte(line[len("data: "):]))
		case strings.HasPrefix(line, "data: "):
			if err := g.add([]byte(line[len("data: "):]), &last); err != nil {
				return err
			}
		}
	}
	return lines.Err()
}

func (g *Generation) add(data []byte, last *time.Time) error {
	var chunk struct {
		Spec    string `json:"system_fingerprint"`
		Choices []struct {
			Tokens []uint32 `json:"token_ids"`
			Finish *string  `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	now := time.Now()
	wait := now.Sub(*last)
	*last = now
	if g.First == 0 {
		g.First = wait
	} else {
		g.Waits = append(g.Waits, wait)
		g.Longest = max(g.Longest, wait)
	}
	g.Spec = chunk.Spec
	g.Tokens = append(g.Tokens, chunk.Choices[0].Tokens...)
	if chunk.Choices[0].Finish != nil {
		g.Finish = *chunk.Choices[0].Finish
	}
	if g.Observe != nil {
		g.Observe(g)
	}
	return nil
}

func (g *Generation) fail(data []byte) {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	g.Code = "unreadable"
	if json.Unmarshal(data, &body) == nil {
		g.Code, g.Outcome = body.Error.Code, body.Error.Outcome
	}
}

// Booking is the answer to a plain-service call.
type Booking struct {
	Status  int
	Outcome string
	Body    []byte
}

// Book sends a call to a plain service.
func (c Caller) Book(ctx context.Context, address, service, method, path, key string, body any) (Booking, error) {
	req, err := c.request(ctx, method, "http://"+address+"/services/"+service+path, body)
	if err != nil {
		return Booking{}, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Booking{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return Booking{Status: resp.StatusCode, Outcome: resp.Header.Get("Outcome"), Body: data}, err
}

func (c Caller) request(ctx context.Context, method, url string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	// The transport must not repeat a booking by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.Key)
	return req, nil
}
