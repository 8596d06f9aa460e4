// Package service is the client of plain-service endpoints.
package service

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/booking"
	"radishhollow/core/route"
)

// Defaults of Client.
const (
	DefaultDialTimeout = time.Second
	DefaultLoadTimeout = time.Second
	DefaultIdleTimeout = 30 * time.Second
	DefaultMaxResponse = 8 << 20
	maxLoadResponse    = 64 << 10
	maxHeader          = 64 << 10
	idleConnections    = 8
)

// Client sends each request to one endpoint at most once. It follows no redirects and uses no proxy.
//
// A request that does not allow reuse gets a connection of its own, because a reused connection that the endpoint is
// closing leaves open whether the request was read. No request body can be rewound, so net/http repeats nothing.
type Client struct {
	fresh       *http.Transport
	pooled      *http.Transport
	maxResponse int64
	// Check refuses a response by its header, for example one that belongs to another request. Its connection is closed. It
	// may be nil and is set before use.
	Check func(r booking.Request, header http.Header) error
	// Observe is told the state that each response header names; it may be nil and is set before use.
	Observe func(address, incarnation, state string)
}

// New returns a Client that waits up to dial for a connection and keeps an idle one for the given time. Close ends its
// idle connections.
func New(dial, idle time.Duration) *Client {
	return &Client{
		fresh:       transport(dial, idle, true),
		pooled:      transport(dial, idle, false),
		maxResponse: DefaultMaxResponse,
	}
}

func transport(dial, idle time.Duration, fresh bool) *http.Transport {
	dialer := newDialer(dial)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &gatedConn{Conn: conn}, nil
		},
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idleConnections,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxHeader,
	}
}

// Close ends the idle connections.
func (c *Client) Close() error {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	return nil
}

// Send sends the request once. An error is a SendError, whose Written field is false only if no byte was and no byte
// will be written, or a ResponseError for a response that could not be read completely.
func (c *Client) Send(ctx context.Context, address string, r booking.Request) (booking.Response, error) {
	if err := ctx.Err(); err != nil {
		return booking.Response{}, errors.Trace(SendError{Endpoint: address, Cause: err})
	}
	resp, err := c.roundTrip(ctx, address, r)
	if err != nil {
		return booking.Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if c.Observe != nil {
		c.Observe(address, resp.Header.Get("Endpoint-Incarnation"), resp.Header.Get("Endpoint-State"))
	}
	body, err := readAll(address, resp.Body, c.maxResponse)
	if err != nil {
		return booking.Response{}, errors.Trace(ResponseError{Endpoint: address, Status: resp.StatusCode, Cause: err})
	}
	return booking.Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// roundTrip sends the request once and returns the response with its body unread.
func (c *Client) roundTrip(ctx context.Context, address string, r booking.Request) (*http.Response, error) {
	var conn net.Conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn = info.Conn
		if gated, ok := conn.(*gatedConn); ok {
			gated.arm()
		}
	}})
	req, err := request(ctx, address, r)
	if err != nil {
		return nil, errors.Trace(SendError{Endpoint: address, Cause: err})
	}
	used := c.fresh
	if r.ReuseConnection {
		used = c.pooled
	}
	resp, err := used.RoundTrip(req)
	if err != nil {
		return nil, errors.Trace(SendError{Endpoint: address, Written: seal(conn), Cause: err})
	}
	if c.Check == nil {
		return resp, nil
	}
	if err := c.Check(r, resp.Header); err != nil {
		// What follows on this connection belongs to unknown requests.
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, errors.Trace(ResponseError{Endpoint: address, Status: resp.StatusCode, Cause: err})
	}
	return resp, nil
}

// Open sends the request once and returns a response whose body is read by the caller. The context bounds the opening
// only; the returned function ends the request at any time and must be called.
func (c *Client) Open(ctx context.Context, address string, r booking.Request) (*http.Response, context.CancelFunc, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, errors.Trace(SendError{Endpoint: address, Cause: err})
	}
	opened, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	resp, err := c.roundTrip(opened, address, r)
	if !stop() && err == nil {
		_ = resp.Body.Close()
		err = errors.Trace(SendError{Endpoint: address, Written: true, Cause: ctx.Err()})
	}
	if err != nil {
		cancel()
		return nil, nil, err
	}
	return resp, cancel, nil
}

// onceReader hides the concrete type of a body from net/http, which then cannot rewind and resend it.
type onceReader struct{ io.Reader }

func request(ctx context.Context, address string, r booking.Request) (*http.Request, error) {
	target, err := targetOf(address, r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var body io.Reader = onceReader{bytes.NewReader(r.Body)}
	if len(r.Body) == 0 && !r.ReuseConnection {
		// A new connection is never retried, so the request needs no body that cannot be rewound.
		body = http.NoBody
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.URL, req.Host = &target, r.Host
	req.Header = r.Header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil
	}
	req.ContentLength = int64(len(r.Body))
	return req, nil
}

func targetOf(address string, r booking.Request) (url.URL, error) {
	if r.Target != "" {
		return url.URL{Scheme: "http", Host: address, Opaque: r.Target}, nil
	}
	path, err := url.PathUnescape(r.Path)
	return url.URL{Scheme: "http", Host: address, Path: path, RawPath: r.Path, RawQuery: r.Query}, err
}

func readAll(address string, from io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(from, limit+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(body)) > limit {
		return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: limit})
	}
	return body, nil
}

// Load reads the endpoint's load report.
func (c *Client) Load(ctx context.Context, address string) (route.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultLoadTimeout)
	defer cancel()
	resp, err := c.Send(ctx, address, booking.Request{Method: http.MethodGet, Path: "/load", ReuseConnection: true})
	if err != nil {
		return route.Report{}, err
	}
	var body struct {
		Incarnation string      `json:"incarnation"`
		State       route.State `json:"state"`
		Place       string      `json:"place"`
		Running     int         `json:"running"`
		Slots       int         `json:"slots"`
	}
	if resp.Status != http.StatusOK || len(resp.Body) > maxLoadResponse {
		return route.Report{}, errors.Trace(LoadError{Endpoint: address, Status: resp.Status})
	}
	if err := json.Unmarshal(resp.Body, &body); err != nil {
		return route.Report{}, errors.Trace(LoadError{Endpoint: address, Status: resp.Status, Cause: err})
	}
	return route.Report{
		Address: address, Incarnation: body.Incarnation, State: body.State, Place: body.Place,
		Running: body.Running, Slots: body.Slots,
	}, nil
}
