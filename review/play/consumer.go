package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// apiKey is the key of the only tenant.
const apiKey = "n2ctnfzs989anu6wsjnb" //nolint:gosec // It is the example of the pages.

const host = "ficu95.example"

// request is what a consumer sends.
type request struct {
	method, target, id string
	timeLimit          time.Duration
	body               string
	headers            []string
}

func (q request) text() string {
	var text strings.Builder
	_, _ = fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Radishhollow-Deadline-Ms: %d\r\nAuthorization: Token %s\r\n",
		q.method, q.target, host, idHeader, q.id, q.timeLimit.Milliseconds(), apiKey)
	for _, header := range q.headers {
		text.WriteString(header + "\r\n")
	}
	_, _ = fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(q.body), q.body)
	return text.String()
}

// answer is what a consumer got. Whole is set if the body ended as its framing says.
type answer struct {
	status int
	header http.Header
	body   string
	whole  bool
	err    error
	took   time.Duration
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, %d bytes, whole %t, after %d ms, error %v", a.status, len(a.body), a.whole, a.took.Milliseconds(), a.err)
}

// consumerChannel is a consumer's kept channel.
type consumerChannel struct {
	net.Conn
	input *bufio.Reader
}

func dial(ctx context.Context, address string) (*consumerChannel, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &consumerChannel{Conn: conn, input: bufio.NewReader(conn)}, nil
}

// send sends a request and reads its answer, for up to a little more than its time limit.
func (c *consumerChannel) send(q request) answer {
	started := time.Now()
	_ = c.SetDeadline(started.Add(q.timeLimit + time.Second))
	if _, err := io.WriteString(c, q.text()); err != nil {
		return answer{err: err}
	}
	return c.receive(started)
}

func (c *consumerChannel) receive(started time.Time) answer {
	response, err := http.ReadResponse(c.input, nil)
	if err != nil {
		return answer{err: err, took: time.Since(started)}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, header: response.Header, body: string(body), whole: err == nil, err: err, took: time.Since(started),
	}
}

// ask sends a request on a channel of its own.
func (p *play) ask(address string, q request) answer {
	c, err := dial(p.ctx, address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	return c.send(q)
}

// configuration returns a configuration with these routes and services.
func configuration(routes, services []map[string]any) map[string]any {
	return map[string]any{
		"routes": routes, "services": services,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}, "priority": 1}},
	}
}

// streamRoute and streamService are those of the site acec-tempisque.
func streamRoute() map[string]any {
	return map[string]any{
		"name": "r-stream", "host": host, "prefix": "/reports/", "type": "streaming", "timeout_ms": 25000, "slo_ms": 4500, "priority": 1,
		"service": "models", "attempts": 5, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 700,
	}
}

func streamService() map[string]any {
	return map[string]any{
		"name": "models", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kv_capacity": 88000, "kv_token_bytes": 18432, "link_mbps": 550000.0, "moves": true, "backups": true,
			"stride": 7, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 4.0, "models": []map[string]any{{"name": "m"}},
		},
	}
}

// bookingRoute and bookingService are those of the site acec-tempisque.
func bookingRoute(prefix string) map[string]any {
	return map[string]any{
		"name": "r-booking", "host": host, "prefix": prefix, "type": "unsafe", "timeout_ms": 1200, "slo_ms": 150, "priority": 2,
		"service": "depot", "attempts": 1, "public": false,
	}
}

func bookingService() map[string]any {
	return map[string]any{"name": "depot", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false}
}
