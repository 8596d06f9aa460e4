package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"radishhollow/io/telemetry"
)

// maxResponseBytes bounds the response of a peer. A document has at most 1 MB.
const maxResponseBytes = 2 << 20

// Connections to one peer serve one exchange in many, so they are kept only shortly.
const (
	idleConnections = 16
	idleTimeout     = 30 * time.Second
)

// countedConn counts all bytes of a connection, with the headers that the body sizes leave out.
type countedConn struct {
	net.Conn
	metrics *telemetry.Metrics
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.metrics.Add(telemetry.ControlBytes, "received", n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.metrics.Add(telemetry.ControlBytes, "sent", n)
	return n, err
}

type countedListener struct {
	net.Listener
	metrics *telemetry.Metrics
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, metrics: l.metrics}, nil
}

// NewCountingListener returns a listener that counts the bytes of its connections as control traffic.
func NewCountingListener(l net.Listener, m *telemetry.Metrics) net.Listener {
	return countedListener{Listener: l, metrics: m}
}

// boundedTransport cuts responses that are larger than any peer sends.
type boundedTransport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	response.Body = struct {
		io.Reader
		io.Closer
	}{io.LimitReader(response.Body, maxResponseBytes), response.Body}
	return response, nil
}

// NewHTTPClient returns a client that counts its bytes as control traffic and follows no redirect.
func NewHTTPClient(m *telemetry.Metrics) *http.Client {
	dialer := &net.Dialer{Timeout: time.Second}
	return &http.Client{
		Transport: boundedTransport{&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return countedConn{Conn: conn, metrics: m}, nil
			},
			MaxIdleConns:        idleConnections,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
