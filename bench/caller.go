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

// Caller is a client of the daemons with the API key of one workspace. It is safe for concurrent use.
type Caller struct {
	Key  string
	HTTP *http.Client
}

// NewHTTPClient returns an HTTP client for many concurrent callers.
func NewHTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}

// Generation is a streamed completion as received by its caller.
type Generation struct {
	Prompt       []uint32
	Tokens       []uint32
	Spec         string // the weights, such as model@1 or model@1+adapter@3
	FinishReason string
	Cursor       string
	// FirstTokenWait is the wait for the first event with a choice.
	FirstTokenWait time.Duration
	// LongestWait is the longest of Waits.
	LongestWait time.Duration
	// Waits holds the wait for each later event with a choice: since the event before it, or since the request if the
	// event is the first after a resume.
	Waits []time.Duration
	// Code and Outcome are those of the typed error. Code is empty without an error, and unreadable if the error is not
	// valid JSON.
	Code    string
	Outcome string
	// Status is the HTTP status of the response.
	Status int
	// Done is set by the end marker data: [DONE].
	Done bool
	// OnEvent is called after each event with tokens or a finish reason; it may be nil.
	OnEvent func(g *Generation)
}

// Check returns an error unless the tokens are those that the stand-in engine generates for the prompt and, with finish
// reason length, there are maxTokens of them.
func (g Generation) Check(maxTokens int) error {
	if g.FinishReason == "length" && len(g.Tokens) != maxTokens {
		return LengthError{Want: maxTokens, Got: len(g.Tokens)}
	}
	return engine.Verify(g.Spec, g.Prompt, g.Tokens)
}

// Generate streams one completion. It returns an error if the transport fails or an event cannot be parsed; typed
// errors are in the Generation.
func (c Caller) Generate(ctx context.Context, address, model string, prompt []uint32, maxTokens int) (Generation, error) {
	g := Generation{Prompt: prompt}
	err := c.resume(ctx, address, model, &g, maxTokens)
	return g, err
}

// Resume sends a request for g and adds the response to g. If g holds the cursor of an interrupted stream, the request
// resumes the stream with the cursor and the token ids received so far; otherwise it starts a new one. Errors are as in
// Generate.
func (c Caller) Resume(ctx context.Context, address, model string, g *Generation, maxTokens int) error {
	return c.resume(ctx, address, model, g, maxTokens)
}

func (c Caller) resume(ctx context.Context, address, model string, g *Generation, maxTokens int) error {
	body := map[string]any{"model": model, "prompt": g.Prompt, "max_tokens": maxTokens, "stream": true}
	if g.Cursor != "" {
		body["resume_token_ids"] = g.Tokens
	}
	req, err := c.newRequest(ctx, http.MethodPost, "http://"+address+"/v1/completions", body)
	if err != nil {
		return err
	}
	if g.Cursor != "" {
		req.Header.Set("Last-Event-ID", g.Cursor)
	}
	start := time.Now()
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	g.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		data, err := io.ReadAll(resp.Body)
		g.setError(data)
		return err
	}
	return g.readStream(resp.Body, start)
}

// readStream reads the events of the stream until its end. It sets the cursor at the id line of an event, before the
// data of the event, so after a loss between the two the cursor belongs to an event whose tokens are missing in g.
func (g *Generation) readStream(stream io.Reader, start time.Time) error {
	lines := bufio.NewScanner(stream)
	lines.Buffer(nil, 1<<20)
	last, failed := start, false
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
			g.setError([]byte(line[len("data: "):]))
		case strings.HasPrefix(line, "data: "):
			if err := g.addChunk([]byte(line[len("data: "):]), &last); err != nil {
				return err
			}
		}
	}
	return lines.Err()
}

func (g *Generation) addChunk(data []byte, last *time.Time) error {
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
	if g.FirstTokenWait == 0 {
		g.FirstTokenWait = wait
	} else {
		g.Waits = append(g.Waits, wait)
		g.LongestWait = max(g.LongestWait, wait)
	}
	g.Spec = chunk.Spec
	g.Tokens = append(g.Tokens, chunk.Choices[0].Tokens...)
	if chunk.Choices[0].Finish != nil {
		g.FinishReason = *chunk.Choices[0].Finish
	}
	if g.OnEvent != nil {
		g.OnEvent(g)
	}
	return nil
}

func (g *Generation) setError(data []byte) {
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

// ServiceResponse is the response to a plain-service call. Outcome is the value of its Outcome header.
type ServiceResponse struct {
	Status  int
	Outcome string
	Body    []byte
}

// CallService sends a request to a plain service, with key as its idempotency key unless it is empty.
func (c Caller) CallService(ctx context.Context, address, service, method, path, key string, body any) (ServiceResponse, error) {
	req, err := c.newRequest(ctx, method, "http://"+address+"/services/"+service+path, body)
	if err != nil {
		return ServiceResponse{}, err
	}
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return ServiceResponse{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return ServiceResponse{Status: resp.StatusCode, Outcome: resp.Header.Get("Outcome"), Body: data}, err
}

func (c Caller) newRequest(ctx context.Context, method, url string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	// Without GetBody, the transport cannot retry a booking by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.Key)
	return req, nil
}
