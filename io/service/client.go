// Package service implements the HTTP client for plain-service endpoints.
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
	"strings"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/booking"
	"radishhollow/core/route"
	"radishhollow/io/memory"
)

// Defaults and limits of Client.
const (
	DefaultDialTimeout      = time.Second
	loadTimeout             = time.Second
	DefaultIdleTimeout      = 30 * time.Second
	DefaultMaxResponseBytes = 8 << 20
	maxLoadResponseBytes    = 64 << 10
	maxHeaderBytes          = 64 << 10
	maxIdleConnsPerEndpoint = 8
	// maxStatus is the highest status that HTTP defines.
	maxStatus = 599
)

// Client sends each request to one endpoint at most once. It follows no redirects and uses no proxy. It is safe for
// concurrent use.
//
// A request that does not allow reuse gets a new connection: if the endpoint closes a reused connection at the same
// time, it is unknown whether the request was read. No request body can be rewound, so net/http never retries a
// request.
type Client struct {
	singleUse        *http.Transport
	pooled           *http.Transport
	maxResponseBytes int64
	// Check rejects a response by its head, for example one that belongs to another request. The connection of a
	// rejected response is closed. Check may be nil and must be set before the first request.
	Check func(r booking.Request, head booking.ResponseHead) error
	// Memory is the memory that all response bodies share, apart from a small part of each, while they are read and as long
	// as Request.Keep says. Nil means no limit. It must be set before the first request.
	Memory *memory.Budget
	// Observe receives the incarnation and state in the header of each response to Send. It may be nil and must be set
	// before the first request.
	Observe func(address, incarnation, state string)
}

// New returns a Client that waits up to dialTimeout for a new connection and closes a connection that has been idle for
// idleTimeout.
func New(dialTimeout, idleTimeout time.Duration) *Client {
	return &Client{
		singleUse:        newTransport(dialTimeout, idleTimeout, true),
		pooled:           newTransport(dialTimeout, idleTimeout, false),
		maxResponseBytes: DefaultMaxResponseBytes,
	}
}

func newTransport(dialTimeout, idleTimeout time.Duration, singleUse bool) *http.Transport {
	dialer := newDialer(dialTimeout)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &writeTrackingConn{Conn: conn}, nil
		},
		DisableKeepAlives:      singleUse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdleConnsPerEndpoint,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Dedicated returns a client with the same settings whose requests use no connection that carries those of another client,
// for requests whose responses cannot be told from one another. Its idle connections must be closed after use.
func (c *Client) Dedicated() *Client {
	return &Client{
		singleUse: c.singleUse.Clone(), pooled: c.pooled.Clone(), maxResponseBytes: c.maxResponseBytes, Check: c.Check,
		Memory: c.Memory, Observe: c.Observe,
	}
}

// Close closes the idle connections.
func (c *Client) Close() error {
	c.CloseIdleConnections()
	return nil
}

// CloseIdleConnections closes the idle connections. The client can still be used.
func (c *Client) CloseIdleConnections() {
	c.pooled.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Send sends the request once. It returns a SendError if there is no response; its Written field is false only if no
// byte of the request was or will be written. It returns a ResponseError if Check rejects the response, if its status
// is below 200, or if its body cannot be read completely.
func (c *Client) Send(ctx context.Context, address string, r booking.Request) (booking.Response, error) {
	if err := ctx.Err(); err != nil {
		return booking.Response{}, errors.Trace(SendError{Endpoint: address, Cause: err})
	}
	resp, reused, err := c.roundTrip(ctx, address, r)
	if err != nil {
		return booking.Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if c.Observe != nil {
		c.Observe(address, resp.Header.Get("Endpoint-Incarnation"), resp.Header.Get("Endpoint-State"))
	}
	maxBytes := c.maxResponseBytes
	if r.MaxResponseBytes > 0 {
		maxBytes = min(maxBytes, r.MaxResponseBytes)
	}
	body, release, err := c.ReadBody(address, resp, maxBytes)
	if r.Keep != nil {
		r.Keep(release)
	} else {
		defer release()
	}
	if err != nil {
		return booking.Response{}, errors.Trace(ResponseError{Endpoint: address, Status: resp.StatusCode, Cause: err})
	}
	return booking.Response{Status: resp.StatusCode, Header: resp.Header, Body: body, ConnectionReused: reused}, nil
}

// roundTrip sends the request once and returns the response with its body unread, and whether its connection carried
// another request before.
func (c *Client) roundTrip(
	ctx context.Context, address string, r booking.Request,
) (resp *http.Response, reused bool, err error) {
	var conn net.Conn
	sent := newUpload()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: sent.finish, GotConn: func(info httptrace.GotConnInfo) {
		conn, reused = info.Conn, info.Reused
		if tracked, ok := conn.(*writeTrackingConn); ok {
			tracked.startRequest(len(r.Body))
		}
	}})
	req, err := newRequest(ctx, address, r)
	if err != nil {
		return nil, false, errors.Trace(SendError{Endpoint: address, Cause: err})
	}
	transport := c.singleUse
	if r.ReuseConnection {
		transport = c.pooled
	}
	resp, err = transport.RoundTrip(req)
	if err != nil {
		return nil, false, errors.Trace(SendError{Endpoint: address, Written: writtenOrBlocked(conn), Cause: err})
	}
	head := booking.ResponseHead{Status: resp.StatusCode, Header: resp.Header, ConnectionReused: reused}
	if err := c.check(r, resp, head); err != nil {
		// Further data on this connection may belong to other requests.
		_ = conn.Close()
		_ = resp.Body.Close()
		return nil, false, errors.Trace(ResponseError{Endpoint: address, Status: resp.StatusCode, Cause: err})
	}
	if r.OnHead != nil {
		r.OnHead(head)
	}
	if isUnframed(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, ctx: ctx, upload: sent}
	}
	return resp, reused, nil
}

// check rejects a response whose status cannot be passed on, or that Check rejects. net/http writes no final response
// with a status below 200 other than 101, after which the connection has another protocol. Statuses above 599 are invalid
// (RFC 9110, section 15), as is a 204 with a body: what follows its head would belong to another response.
func (c *Client) check(r booking.Request, resp *http.Response, head booking.ResponseHead) error {
	if head.Status < http.StatusOK || head.Status > maxStatus || head.Status == http.StatusNoContent && announcesBody(resp) {
		return StatusError{Status: head.Status}
	}
	if c.Check == nil {
		return nil
	}
	return c.Check(r, head)
}

// announcesBody reports whether the head of a response announces a body.
func announcesBody(resp *http.Response) bool {
	length := resp.Header.Get("Content-Length")
	return length != "" && length != "0" || len(resp.TransferEncoding) > 0
}

// Open sends the request once and returns the response with its body unread. The context applies only until Open
// returns. The returned function cancels the request at any time and must be called. Open returns a SendError
// as Send does, or a ResponseError if Check rejects the response or its status is below 200.
func (c *Client) Open(
	ctx context.Context, address string, r booking.Request,
) (*http.Response, context.CancelFunc, error) {
	if err := ctx.Err(); err != nil {
		return nil, nil, errors.Trace(SendError{Endpoint: address, Cause: err})
	}
	requestCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	resp, _, err := c.roundTrip(requestCtx, address, r)
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

// nonRewindableReader hides the concrete type of a body from net/http, so that it cannot rewind and resend the body.
type nonRewindableReader struct{ io.Reader }

func newRequest(ctx context.Context, address string, r booking.Request) (*http.Request, error) {
	target, err := requestURL(address, r)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var body io.Reader = nonRewindableReader{bytes.NewReader(r.Body)}
	if len(r.Body) == 0 && !r.ReuseConnection {
		// net/http never retries a request on a new connection, so an empty body needs no nonRewindableReader.
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
		// The nil value keeps net/http from adding its own User-Agent.
		req.Header["User-Agent"] = nil
	}
	req.ContentLength = int64(len(r.Body))
	return req, nil
}

// requestURL returns the URL of r.Target or, if that is empty, of r.Path and r.Query.
func requestURL(address string, r booking.Request) (url.URL, error) {
	rawPath, query, emptyQuery := r.Path, r.Query, false
	if r.Target != "" && !strings.HasPrefix(r.Target, "//") {
		return url.URL{Scheme: "http", Host: address, Opaque: r.Target}, nil
	}
	if r.Target != "" {
		// net/http would write the scheme before an opaque part that begins with two slashes.
		rawPath, query, emptyQuery = strings.Cut(r.Target, "?")
	}
	path, err := url.PathUnescape(rawPath)
	return url.URL{Scheme: "http", Host: address, Path: path, RawPath: rawPath, RawQuery: query, ForceQuery: emptyQuery}, err
}

// Load fetches the endpoint's load report within loadTimeout. It returns a LoadError if the report is unusable, and
// otherwise the errors of Send.
func (c *Client) Load(ctx context.Context, address string) (route.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
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
	if resp.Status != http.StatusOK || len(resp.Body) > maxLoadResponseBytes {
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
