// Package engine implements the HTTP client for model engines, and the polling of load reports.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/generation"
	"radishhollow/io/sse"
)

const (
	// maxResponseBytes bounds the body of a response that is not a stream.
	maxResponseBytes = 16 << 20
	maxHeaderBytes   = 64 << 10
	// DefaultDialTimeout bounds the time to connect, which takes a few milliseconds within a place or between places.
	DefaultDialTimeout = time.Second
	// maxIdlePerEndpoint is the maximum number of idle connections per endpoint. It is large enough to keep the
	// connections of all streams of a busy engine for later streams.
	maxIdlePerEndpoint = 256
)

// Client calls engines by address. It sends each request at most once. It is safe for concurrent use once its fields
// are set.
type Client struct {
	// HTTP sends the requests. It must not follow redirects. NewHTTPClient returns a suitable client.
	HTTP *http.Client
	// Observe is called with the incarnation and state in the header of each response, also concurrently. It may be nil.
	Observe func(address, incarnation, state string)
}

// NewHTTPClient returns an HTTP client that uses no proxy, follows no redirects and requests no compression.
func NewHTTPClient(dialTimeout time.Duration) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerEndpoint,
			IdleConnTimeout:     time.Minute,
			// net/http reads up to 10 MB of a head otherwise.
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Open starts an attempt. The context applies only until the response header arrives; the stream stays open until its
// Close.
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
	if start.Sent != nil {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
			GotConn: func(httptrace.GotConnInfo) { start.Sent() },
		})
	}
	return c.openStream(ctx, http.MethodPost, address, "/v1/completions", body, generation.StaleAttemptError{
		Endpoint: address, Generation: start.Generation, Attempt: start.Attempt,
	})
}

// Attach takes over a running or recently finished stream from the offset on. The attempt number must be higher than
// the stream's current one; otherwise the error is a generation.StaleAttemptError. If the engine has no such stream,
// the error is an UnknownStreamError.
func (c *Client) Attach(ctx context.Context, address, id string, attempt, offset int) (generation.Stream, error) {
	path := streamPath(id, attempt) + "&offset=" + strconv.Itoa(offset)
	return c.openStream(ctx, http.MethodGet, address, path, nil, generation.StaleAttemptError{
		Endpoint: address, Generation: id, Attempt: attempt,
	})
}

// Cancel ends the attempt on the engine. If the stream has a higher attempt number by then, Cancel has no effect and
// returns a generation.StaleAttemptError.
func (c *Client) Cancel(ctx context.Context, address, id string, attempt int) error {
	response, err := c.send(ctx, http.MethodDelete, address, streamPath(id, attempt), nil)
	if err != nil {
		return err
	}
	defer drain(response)
	switch response.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusConflict:
		return generation.StaleAttemptError{Endpoint: address, Generation: id, Attempt: attempt}
	case http.StatusNotFound:
		return UnknownStreamError{Endpoint: address, Generation: id}
	}
	return statusError(address, "cancel", response)
}

func streamPath(id string, attempt int) string {
	return "/v1/streams/" + url.PathEscape(id) + "?attempt=" + strconv.Itoa(attempt)
}

func (c *Client) openStream(
	ctx context.Context, method, address, path string, body []byte, staleErr generation.StaleAttemptError,
) (generation.Stream, error) {
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	response, err := c.send(streamCtx, method, address, path, body)
	if !stop() && err == nil {
		// The context ended after the header had arrived.
		drain(response)
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
	defer drain(response)
	switch response.StatusCode {
	case http.StatusConflict:
		return generation.Stream{}, staleErr
	case http.StatusNotFound:
		return generation.Stream{}, UnknownStreamError{Endpoint: address, Generation: staleErr.Generation}
	}
	return generation.Stream{}, statusError(address, "stream", response)
}

func (c *Client) send(ctx context.Context, method, address, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, ConnectError{Endpoint: address, Cause: err}
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	} else {
		// The transport retries a GET request without a body if the connection breaks. The engine would refuse the second
		// copy of an attach as stale if the first had taken effect.
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

// callJSON sends a request with the JSON encoding of in and decodes the body of a 200 response into out.
func (c *Client) callJSON(ctx context.Context, method, address, path string, in, out any) error {
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
	defer drain(response)
	if response.StatusCode != http.StatusOK {
		return statusError(address, path, response)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(out); err != nil {
		return ConnectionError{Endpoint: address, Cause: err}
	}
	return nil
}

// statusError returns the error for a response whose status does not mean success.
func statusError(address, call string, response *http.Response) error {
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

// drain reads the rest of the body up to maxLineBytes, so that the connection can be reused, and closes the body.
func drain(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxLineBytes)
	_ = response.Body.Close()
}
