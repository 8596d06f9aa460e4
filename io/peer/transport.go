package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/pack"
	"radishhollow/core/transfer"
	"radishhollow/io/telemetry"
)

// maxResponseBytes is the maximum size of a response from a peer. It leaves room for a value that does not compress and
// the entries beside it.
const maxResponseBytes = pack.MaxBytes + 1<<20

// maxHeaderBytes is the maximum size of the head of a response.
const maxHeaderBytes = 64 << 10

// Idle connections are closed soon, because only a small part of the exchanges goes to any one peer.
const (
	maxIdleConnections = 16
	// maxIdlePerPeer allows for an exchange beside the waiting calls for three prefixes, which may go to the same reader.
	maxIdlePerPeer = 4
	idleTimeout    = 30 * time.Second
)

// countingConn counts all bytes of a connection, including headers, which the body sizes do not contain.
type countingConn struct {
	net.Conn
	metrics *telemetry.Metrics
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.Add(telemetry.ControlBytes, "received", n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.metrics.Add(telemetry.ControlBytes, "sent", n)
	return n, err
}

type countingListener struct {
	net.Listener
	metrics *telemetry.Metrics
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: conn, metrics: l.metrics}, nil
}

// NewCountingListener returns a listener that counts all bytes of its connections as control traffic.
func NewCountingListener(l net.Listener, m *telemetry.Metrics) net.Listener {
	return countingListener{Listener: l, metrics: m}
}

// limitedTransport fails reads of response bodies beyond maxResponseBytes. A truncated message may decode as a whole one
// without its last fields.
type limitedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = &limitedBody{ReadCloser: transfer.Body(request.Context(), response.Body), address: request.URL.Host, left: maxResponseBytes + 1}
	return response, nil
}

// limitedBody is a response body that fails once left bytes have been read.
type limitedBody struct {
	io.ReadCloser
	address string
	left    int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left <= 0 {
		return n, errors.Trace(TooLargeError{Address: b.address, Limit: maxResponseBytes})
	}
	return n, err
}

// NewHTTPClient returns a client for calls to peers. It counts its bytes as control traffic, accepts response bodies
// of up to maxResponseBytes and does not follow redirects.
func NewHTTPClient(m *telemetry.Metrics) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{
		Transport: limitedTransport{&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return countingConn{Conn: conn, metrics: m}, nil
			},
			MaxIdleConns:        maxIdleConnections,
			MaxIdleConnsPerHost: maxIdlePerPeer,
			IdleConnTimeout:     idleTimeout,
			// net/http reads up to 10 MB of a head otherwise.
			MaxResponseHeaderBytes: maxHeaderBytes,
			DisableCompression:     true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
