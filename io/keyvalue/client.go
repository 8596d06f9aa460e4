// Package keyvalue is the client of the platform's key-value service, leases and instance list.
package keyvalue

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/kv"
	"radishhollow/core/transfer"
)

// Defaults of Client.
const (
	DefaultTimeout = 2 * time.Second
	// DefaultMaxResponseBytes is larger than a single value of 1 MB in base64, because a list may contain several values.
	DefaultMaxResponseBytes = 16 << 20
	maxHeaderBytes          = 64 << 10
	dialTimeout             = time.Second
	idleTimeout             = 30 * time.Second
	maxIdleConnections      = 16
)

// Client calls the platform. Its fields must be set before the first call. It is safe for concurrent use.
type Client struct {
	// Address is the IP address and port of the platform.
	Address string
	// HTTP sends the calls. It must not follow redirects. NewHTTPClient returns a suitable client.
	HTTP *http.Client
	// Timeout limits the time until a response progresses, and each further step of its progress. Call.Wait is added to the
	// first one. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxResponseBytes is the maximum size of a response body. Zero means DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// OnCall is called with the kind of each call before the call is sent, also concurrently. It may be nil.
	OnCall func(kind string)
	// IsNotRun reports whether an error response guarantees that the call had no effect. If it is nil, the header
	// Not-Run decides.
	IsNotRun func(status int, header http.Header) bool
	// ReadEra returns the era of the key-value service from the header of a response, or 0 if there is none. If it is nil,
	// the header Era is read.
	ReadEra func(header http.Header) uint64
	// OnTransfer is called after each call with its kind, the address and the transfer of its response. It may be nil.
	OnTransfer func(kind, address string, t *transfer.Transfer, err error)
	// Eras tracks the era of all responses.
	Eras kv.Eras
}

// NewHTTPClient returns an HTTP client that follows no redirects and uses no proxy.
func NewHTTPClient() *http.Client {
	return &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			// net/http reads up to 10 MB of a head otherwise.
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Call describes one call to the platform.
type Call struct {
	// Kind identifies the call in errors and metrics.
	Kind   string
	Method string
	Path   string
	Query  url.Values
	// Body is sent as JSON. If it is nil, the body is empty.
	Body any
	// Wait is the time for which the platform may delay the response.
	Wait time.Duration
}

// Response is a response whose body has been read to its end.
type Response struct {
	Status int
	Body   []byte
	// Era is the era of the key-value service that sent the response, or 0 if it reports none.
	Era uint64
}

// nonRewindableReader hides the concrete type of a body from net/http, which therefore cannot rewind and resend it.
type nonRewindableReader struct{ io.Reader }

// Do sends a call once. It returns a kv.UnavailableError if no complete response arrives, or if the response has status
// 429 (overload) or at least 500 (server failure).
func (c *Client) Do(ctx context.Context, call Call) (Response, error) {
	if err := ctx.Err(); err != nil {
		return Response{}, errors.Trace(kv.UnavailableError{Call: call.Kind, Cause: err})
	}
	timeout := cmp.Or(c.Timeout, DefaultTimeout)
	ctx, t := transfer.New(ctx, timeout+call.Wait, timeout)
	defer t.Close()
	response, err := c.send(ctx, call)
	if c.OnTransfer != nil {
		c.OnTransfer(call.Kind, c.Address, t, err)
	}
	return response, err
}

func (c *Client) send(ctx context.Context, call Call) (Response, error) {
	req, err := c.newRequest(ctx, call)
	if err != nil {
		return Response{}, errors.Trace(kv.UnavailableError{Call: call.Kind, Cause: err})
	}
	if c.OnCall != nil {
		c.OnCall(call.Kind)
	}
	httpResponse, err := c.HTTP.Do(req)
	if err != nil {
		return Response{}, errors.Trace(kv.UnavailableError{
			Call: call.Kind, MayHaveTakenEffect: mayHaveWritten(call, err), Cause: transfer.Cause(ctx, err),
		})
	}
	httpResponse.Body = transfer.Body(ctx, httpResponse.Body)
	defer func() { _ = httpResponse.Body.Close() }()
	era := c.readEra(httpResponse.Header)
	// Another process may answer in the service's place, which then does so with a server error. An era that the service
	// has never reached would be final.
	if httpResponse.StatusCode < http.StatusInternalServerError {
		c.Eras.Observe(era)
	}
	response, err := c.readResponse(ctx, call, httpResponse)
	response.Era = era
	return response, err
}

func (c *Client) readEra(header http.Header) uint64 {
	if c.ReadEra != nil {
		return c.ReadEra(header)
	}
	// A malformed header counts as none.
	era, _ := strconv.ParseUint(header.Get("Era"), 10, 64)
	return era
}

// newRequest returns a request that net/http sends at most once: without GetBody and with a body that it cannot rewind,
// it reports a failed write on a reused connection instead of repeating the request.
func (c *Client) newRequest(ctx context.Context, call Call) (*http.Request, error) {
	var data []byte
	if call.Body != nil {
		var err error
		if data, err = json.Marshal(call.Body); err != nil {
			return nil, errors.Trace(err)
		}
	}
	target := url.URL{Scheme: "http", Host: c.Address, Path: call.Path, RawQuery: call.Query.Encode()}
	req, err := http.NewRequestWithContext(ctx, call.Method, target.String(), nonRewindableReader{bytes.NewReader(data)})
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = int64(len(data))
	if call.Body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

func (c *Client) readResponse(ctx context.Context, call Call, httpResponse *http.Response) (Response, error) {
	limit := c.MaxResponseBytes
	if limit == 0 {
		limit = DefaultMaxResponseBytes
	}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = TooLargeError{Call: call.Kind, Limit: limit}
	}
	if err != nil {
		err = transfer.Cause(ctx, err)
		return Response{}, errors.Trace(kv.UnavailableError{Call: call.Kind, MayHaveTakenEffect: isWrite(call), Cause: err})
	}
	if httpResponse.StatusCode < http.StatusInternalServerError && httpResponse.StatusCode != http.StatusTooManyRequests {
		return Response{Status: httpResponse.StatusCode, Body: body}, nil
	}
	isNotRun := c.IsNotRun
	if isNotRun == nil {
		isNotRun = func(_ int, header http.Header) bool { return header.Get("Not-Run") == "1" }
	}
	return Response{}, errors.Trace(kv.UnavailableError{
		Call:               call.Kind,
		MayHaveTakenEffect: isWrite(call) && !isNotRun(httpResponse.StatusCode, httpResponse.Header),
		Cause:              StatusError{Call: call.Kind, Status: httpResponse.StatusCode},
	})
}

func isWrite(call Call) bool { return call.Method != http.MethodGet }

// mayHaveWritten reports whether a call that failed with err may have taken effect. It returns false only for reads and
// for a connection that was never established.
func mayHaveWritten(call Call, err error) bool {
	if !isWrite(call) {
		return false
	}
	op, ok := errors.AsType[*net.OpError](err)
	return !ok || op.Op != "dial"
}

// Decode decodes the JSON body of a response. If it fails, the effect of a write is unknown.
func Decode(call Call, response Response, into any) error {
	if err := json.Unmarshal(response.Body, into); err != nil {
		return errors.Trace(kv.UnavailableError{Call: call.Kind, MayHaveTakenEffect: isWrite(call), Cause: err})
	}
	return nil
}

// UnexpectedStatus returns the error for a status that the protocol does not define for a call.
func UnexpectedStatus(call Call, response Response) error {
	return errors.Trace(kv.UnavailableError{
		Call:               call.Kind,
		MayHaveTakenEffect: isWrite(call),
		Cause:              StatusError{Call: call.Kind, Status: response.Status},
	})
}
