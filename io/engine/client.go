// Package engine is the client of model engines.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/generation"
	"radishhollow/io/sse"
)

const (
	// maxBody bounds the responses of all calls that are not streams.
	maxBody = 16 << 20
	// DefaultDialTimeout is the wait for a connection within a place or between places, which takes a few milliseconds.
	DefaultDialTimeout = time.Second
	// maxIdlePerHost keeps the connections of a busy engine's streams for the next ones.
	maxIdlePerHost = 256
)

// Client calls engines by address. It sends each request at most once.
type Client struct {
	// HTTP sends the requests. It must not follow redirects; NewHTTP returns a suitable one.
	HTTP *http.Client
	// Observe is told the state that each response header names; it may be nil.
	Observe func(address, incarnation, state string)
}

// NewHTTPClient returns an HTTP client without proxies, redirects or compression.
func NewHTTPClient(dial time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dial}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerHost,
			IdleConnTimeout:     time.Minute,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Open starts an attempt. The context bounds the wait for the response header; the stream lives until its Close.
func (c *Client) Open(ctx context.Context, address string, start generation.Start) (generation.Stream, error) {
	body, err := json.Marshal(struct {
		Model       string   `json:"model"`
		Prompt      []uint32 `json:"prompt"`
		MaxTokens   int      `json:"max_tokens,omitempty"`
		Stream      bool     `json:"stream"`
		Priority    int      `json:"priority"`
		Temperature *float64 `json:"temperature,omitempty"`
		TopP        *float64 `json:"top_p,omitempty"`
		Seed        *int64   `json:"seed,omitempty"`
		Stop        []string `json:"stop,omitempty"`
		TokenIDs    bool     `json:"return_token_ids"`
		RequestID   string   `json:"request_id"`
		Attempt     int      `json:"attempt"`
		Offset      int      `json:"offset"`
	}{
		Model: start.Model, Prompt: start.Prompt, MaxTokens: start.Sampling.MaxTokens, Stream: true,
		Priority: start.Priority, Temperature: start.Sampling.Temperature, TopP: start.Sampling.TopP,
		Seed: start.Sampling.Seed, Stop: start.Sampling.Stop, TokenIDs: true, RequestID: start.Generation,
		Attempt: start.Attempt, Offset: start.Offset,
	})
	if err != nil {
		return generation.Stream{}, errors.Trace(err)
	}
	return c.stream(ctx, http.MethodPost, address, "/v1/completions", body, generation.StaleAttemptError{
		Endpoint: address, Generation: start.Generation, Attempt: start.Attempt,
	})
}

// Attach takes over a running or just finished stream from the offset on.
func (c *Client) Attach(ctx context.Context, address, id string, attempt, offset int) (generation.Stream, error) {
	path := streamPath(id, attempt) + "&offset=" + strconv.Itoa(offset)
	return c.stream(ctx, http.MethodGet, address, path, nil, generation.StaleAttemptError{
		Endpoint: address, Generation: id, Attempt: attempt,
	})
}

// Cancel ends the attempt on the engine; a stream with a higher attempt keeps running.
func (c *Client) Cancel(ctx context.Context, address, id string, attempt int) error {
	response, err := c.send(ctx, http.MethodDelete, address, streamPath(id, attempt), nil)
	if err != nil {
		return err
	}
	defer discard(response)
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return generation.StaleAttemptError{Endpoint: address, Generation: id, Attempt: attempt}
	case http.StatusNotFound:
		return UnknownStreamError{Endpoint: address, Generation: id}
	}
	return unexpected(address, "cancel", response)
}

func streamPath(id string, attempt int) string {
	return "/v1/streams/" + url.PathEscape(id) + "?attempt=" + strconv.Itoa(attempt)
}

func (c *Client) stream(
	ctx context.Context, method, address, path string, body []byte, stale generation.StaleAttemptError,
) (generation.Stream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	response, err := c.send(streamCtx, method, address, path, body)
	if !stop() && err == nil {
		// The context ended while the header arrived.
		discard(response)
		err = ConnectionError{Endpoint: address, Cause: ctx.Err()}
	}
	if err != nil {
		cancel()
		return generation.Stream{}, err
	}
	if response.StatusCode == http.StatusOK {
		return sse.NewStream(streamCtx, response.Body, cancel, newStreamReader(response.Body).nextChunk), nil
	}
	defer cancel()
	defer discard(response)
	switch response.StatusCode {
	case http.StatusConflict:
		return generation.Stream{}, stale
	case http.StatusNotFound:
		return generation.Stream{}, UnknownStreamError{Endpoint: address, Generation: stale.Generation}
	}
	return generation.Stream{}, unexpected(address, "stream", response)
}

func (c *Client) send(ctx context.Context, method, address, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, ConnectError{Endpoint: address, Cause: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	} else {
		// The transport repeats a GET without a body on a broken connection. An attach that took effect would then be
		// refused as stale.
		request.Body = io.NopCloser(bytes.NewReader(nil))
	}
	request.GetBody = nil
	response, err := c.HTTP.Do(request)
	if err == nil {
		if c.Observe != nil {
			c.Observe(address, response.Header.Get("Endpoint-Incarnation"), response.Header.Get("Endpoint-State"))
		}
		return response, nil
	}
	if op, ok := errors.AsType[*net.OpError](err); ok && op.Op == "dial" {
		return nil, ConnectError{Endpoint: address, Cause: err}
	}
	return nil, ConnectionError{Endpoint: address, Cause: err}
}

// call sends a request and decodes the JSON body of its 200 response.
func (c *Client) call(ctx context.Context, method, address, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Trace(err)
		}
	}
	response, err := c.send(ctx, method, address, path, body)
	if err != nil {
		return err
	}
	defer discard(response)
	if response.StatusCode != http.StatusOK {
		return unexpected(address, path, response)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxBody)).Decode(out); err != nil {
		return ConnectionError{Endpoint: address, Cause: err}
	}
	return nil
}

// unexpected returns the error of a response that is not the call's success.
func unexpected(address, call string, response *http.Response) error {
	status := response.StatusCode
	refusal := status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	if refusal && response.Header.Get("Not-Run") == "1" {
		seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
		return RefusedError{
			Endpoint: address, Status: status, State: response.Header.Get("Endpoint-State"),
			RetryAfter: time.Duration(max(seconds, 0)) * time.Second,
		}
	}
	return StatusError{Endpoint: address, Call: call, Status: status}
}

// discard reads the rest of a small body, so that its connection can be used again, and closes it.
func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxLine)
	_ = response.Body.Close()
}
