// Package keyvalue is the client of the platform's key-value service, leases and instance list.
package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/kv"
)

// Defaults of Client.
const (
	DefaultTimeout = 2 * time.Second
	// DefaultMaxResponse is above one base64 value of 1 MB; a listing may hold several.
	DefaultMaxResponse = 16 << 20
	dialTimeout        = time.Second
	idleTimeout        = 30 * time.Second
	idleConnections    = 16
)

// Client calls the platform. The fields are set before the first call.
type Client struct {
	// Address is the IP address and port of the platform.
	Address string
	// HTTP sends the calls. Redirects must not be followed; NewHTTP returns a suitable client.
	HTTP *http.Client
	// Timeout bounds each call; a watch gets its wait on top. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxResponseBytes bounds each response body. Zero means DefaultMaxResponse.
	MaxResponseBytes int64
	// OnCall is told the kind of each call before it is sent; it may be nil.
	OnCall func(kind string)
	// IsNotRun tells that an error response promises that nothing was done. Nil trusts the header Not-Run.
	IsNotRun func(status int, header http.Header) bool
}

// NewHTTPClient returns an HTTP client that follows no redirect and uses no proxy.
func NewHTTPClient() *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		},
	}
}

// Call describes one exchange with the platform.
type Call struct {
	// Kind names the call in errors and metrics.
	Kind   string
	Method string
	Path   string
	Query  url.Values
	// Body is sent as JSON; nil sends none.
	Body any
	// Wait is the time that the platform may hold the call back.
	Wait time.Duration
}

// Answer is a complete response.
type Answer struct {
	Status int
	Body   []byte
}

// onceReader hides the concrete type of a body from net/http, which then cannot rewind and resend it.
type onceReader struct{ io.Reader }

// Do sends a call once. A response with a status that means overload or a server's failure is an UnavailableError.
func (c *Client) Do(ctx context.Context, k Call) (Answer, error) {
	if err := ctx.Err(); err != nil {
		return Answer{}, errors.Trace(kv.UnavailableError{Call: k.Kind, Cause: err})
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+k.Wait)
	defer cancel()
	req, err := c.request(ctx, k)
	if err != nil {
		return Answer{}, errors.Trace(kv.UnavailableError{Call: k.Kind, Cause: err})
	}
	if c.OnCall != nil {
		c.OnCall(k.Kind)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return Answer{}, errors.Trace(kv.UnavailableError{Call: k.Kind, Written: mayHaveWritten(k, err), Cause: err})
	}
	defer func() { _ = resp.Body.Close() }()
	return c.read(k, resp)
}

// request builds a request that net/http sends at most once: without GetBody and with a body that it cannot rewind,
// a failed write on a reused connection is reported instead of repeated.
func (c *Client) request(ctx context.Context, k Call) (*http.Request, error) {
	var data []byte
	if k.Body != nil {
		var err error
		if data, err = json.Marshal(k.Body); err != nil {
			return nil, errors.Trace(err)
		}
	}
	target := url.URL{Scheme: "http", Host: c.Address, Path: k.Path, RawQuery: k.Query.Encode()}
	req, err := http.NewRequestWithContext(ctx, k.Method, target.String(), onceReader{bytes.NewReader(data)})
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = int64(len(data))
	if k.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func (c *Client) read(k Call, resp *http.Response) (Answer, error) {
	limit := c.MaxResponseBytes
	if limit == 0 {
		limit = DefaultMaxResponse
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = TooLargeError{Call: k.Kind, Limit: limit}
	}
	if err != nil {
		return Answer{}, errors.Trace(kv.UnavailableError{Call: k.Kind, Written: isWrite(k), Cause: err})
	}
	if resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests {
		return Answer{Status: resp.StatusCode, Body: body}, nil
	}
	refused := c.IsNotRun
	if refused == nil {
		refused = func(_ int, header http.Header) bool { return header.Get("Not-Run") == "1" }
	}
	return Answer{}, errors.Trace(kv.UnavailableError{
		Call:    k.Kind,
		Written: isWrite(k) && !refused(resp.StatusCode, resp.Header),
		Cause:   StatusError{Call: k.Kind, Status: resp.StatusCode},
	})
}

func isWrite(k Call) bool { return k.Method != http.MethodGet }

// mayHaveWritten is false only for reads and for a connection that was never established.
func mayHaveWritten(k Call, err error) bool {
	if !isWrite(k) {
		return false
	}
	op, ok := errors.AsType[*net.OpError](err)
	return !ok || op.Op != "dial"
}

// Decode reads the JSON body of an answer; a body that cannot be read leaves the effect of a write open.
func Decode(k Call, a Answer, into any) error {
	if err := json.Unmarshal(a.Body, into); err != nil {
		return errors.Trace(kv.UnavailableError{Call: k.Kind, Written: isWrite(k), Cause: err})
	}
	return nil
}

// UnexpectedStatus is the error for a status that the protocol does not name for a call.
func UnexpectedStatus(k Call, a Answer) error {
	return errors.Trace(kv.UnavailableError{
		Call:    k.Kind,
		Written: isWrite(k),
		Cause:   StatusError{Call: k.Kind, Status: a.Status},
	})
}
