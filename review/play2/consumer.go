package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Host, key and deadline of the consumers' requests.
const (
	consumerHost     = "sluice.example"
	streamPath       = "/briefings/1"
	apiKey           = "n2ctnfzs989anu6wsjnb" //nolint:gosec // The key is the stand-in's own.
	streamDeadlineMS = 25000
	promptBytes      = 8000
)

var requestCounter atomic.Int64

// streamResult is what a consumer saw of a request.
type streamResult struct {
	id     string
	status int
	events int
	whole  bool
	err    error
}

// newRequestID returns an id that no other request has.
func newRequestID() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), uint32(requestCounter.Add(1)))
}

// sendStream sends one streaming request, as on the sheet, to a daemon on a channel of its own and reads the answer.
func sendStream(ctx context.Context, front, id, parts string) streamResult {
	return sendStreamWith(ctx, front, id, parts, 0)
}

// sendStreamWith sends a request with so many further lines in its head.
func sendStreamWith(ctx context.Context, front, id, parts string, lines int) streamResult {
	ctx, cancel := context.WithTimeout(ctx, streamDeadlineMS*time.Millisecond)
	defer cancel()
	result := streamResult{id: id}
	request, err := newStreamRequest(ctx, front, id, parts)
	if err != nil {
		result.err = err
		return result
	}
	for i := range lines {
		request.Header.Set(fmt.Sprintf("a%d", i), "bcde")
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status = response.StatusCode
	text, err := io.ReadAll(response.Body)
	result.events, result.err = strings.Count(string(text), "id: "), err
	result.whole = err == nil && response.StatusCode == http.StatusOK && result.events == shortAnswer.events
	return result
}

func newStreamRequest(ctx context.Context, front, id, parts string) (*http.Request, error) {
	body := bytes.Repeat([]byte("x"), promptBytes)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+streamPath, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Host = consumerHost
	request.Header.Set("X-Radishhollow-Request-Id", id)
	request.Header.Set("X-Radishhollow-Deadline-Ms", fmt.Sprint(streamDeadlineMS))
	request.Header.Set("X-Radishhollow-Model", "m")
	request.Header.Set("X-Radishhollow-Token-Usage", "8000,280")
	request.Header.Set("X-Radishhollow-Prompt-Prefix", parts)
	request.Header.Set("Authorization", "Token "+apiKey)
	return request, nil
}
