// Package platform is the client of the platform's key-value service, leases and instance list.
package platform

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
	// MaxResponse bounds each response body. Zero means DefaultMaxResponse.
	MaxResponse int64
	// Count is told the kind of each call before it is sent; it may be nil.
	Count func(kind string)
}

// NewHTTP returns an HTTP client that follows no redirect and uses no proxy.
func NewHTTP() *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		},
	}
}

// call describes one exchange with the platform.
type call struct {
	kind   string
	method string
	path   string
	query  url.Values
	body   any
	wait   time.Duration
}

// answer is a complete response.
type answer struct {
	status int
	body   []byte
}

// onceReader hides the concrete type of a body from net/http, which then cannot rewind and resend it.
type onceReader struct{ io.Reader }

func (c *Client) do(ctx context.Context, k call) (answer, error) {
	if err := ctx.Err(); err != nil {
		return answer{}, errors.Trace(kv.UnavailableError{Call: k.kind, Cause: err})
	}
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+k.wait)
	defer cancel()
	req, err := c.request(ctx, k)
	if err != nil {
		return answer{}, errors.Trace(kv.UnavailableError{Call: k.kind, Cause: err})
	}
	if c.Count != nil {
		c.Count(k.kind)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return answer{}, errors.Trace(kv.UnavailableError{Call: k.kind, Written: mayHaveWritten(k, err), Cause: err})
	}
	defer func() { _ = resp.Body.Close() }()
	return c.read(k, resp)
}

// request builds a request that net/http sends at most once: without GetBody and with a body that it cannot rewind,
// a failed write on a reused connection is reported instead of repeated.
func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	var data []byte
	if k.body != nil {
		var err error
		if data, err = json.Marshal(k.body); err != nil {
			return nil, errors.Trace(err)
		}
	}
	target := url.URL{Scheme: "http", Host: c.Address, Path: k.path, RawQuery: k.query.Encode()}
	req, err := http.NewRequestWithContext(ctx, k.method, target.String(), onceReader{bytes.NewReader(data)})
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = int64(len(data))
	if k.body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func (c *Client) read(k call, resp *http.Response) (answer, error) {
	limit := c.MaxResponse
	if limit == 0 {
		limit = DefaultMaxResponse
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = TooLargeError{Call: k.kind, Limit: limit}
	}
	if err != nil {
		return answer{}, errors.Trace(kv.UnavailableError{Call: k.kind, Written: isWrite(k), Cause: err})
	}
	if resp.StatusCode < http.StatusInternalServerError && resp.StatusCode != http.StatusTooManyRequests {
		return answer{status: resp.StatusCode, body: body}, nil
	}
	refused := resp.Header.Get("Not-Run") == "1"
	return answer{}, errors.Trace(kv.UnavailableError{
		Call:    k.kind,
		Written: isWrite(k) && !refused,
		Cause:   StatusError{Call: k.kind, Status: resp.StatusCode},
	})
}

func isWrite(k call) bool { return k.method != http.MethodGet }

// mayHaveWritten is false only for reads and for a connection that was never established.
func mayHaveWritten(k call, err error) bool {
	if !isWrite(k) {
		return false
	}
	op, ok := errors.AsType[*net.OpError](err)
	return !ok || op.Op != "dial"
}

// decode reads the JSON body of an answer; a body that cannot be read leaves the effect of a write open.
func decode(k call, a answer, into any) error {
	if err := json.Unmarshal(a.body, into); err != nil {
		return errors.Trace(kv.UnavailableError{Call: k.kind, Written: isWrite(k), Cause: err})
	}
	return nil
}

// unexpected is the error for a status that the protocol does not name for a call.
func unexpected(k call, a answer) error {
	return errors.Trace(kv.UnavailableError{
		Call:    k.kind,
		Written: isWrite(k),
		Cause:   StatusError{Call: k.kind, Status: a.status},
	})
}
