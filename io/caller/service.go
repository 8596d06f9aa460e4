package caller

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/juju/errors"

	"radishhollow/core/booking"
	"radishhollow/core/config"
	"radishhollow/core/failure"
	"radishhollow/io/telemetry"
)

const (
	servicePrefix        = "/services/"
	outcomeHeader        = "Outcome"
	idempotencyKeyHeader = "Idempotency-Key"
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
)

// hopByHopHeaders lists the headers that apply to one connection only, and those that net/http sets itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endpointHeaders lists the response headers that endpoints send to the daemon. They are not passed on; callers receive
// the outcome header instead.
var endpointHeaders = []string{"Not-Run", "Endpoint-State", "Endpoint-Incarnation"}

// ServiceHandler serves the callers' requests to plain services through a booking.Sender. Its fields must be set before
// use.
type ServiceHandler struct {
	// Do sends a call, as booking.Sender.Do does.
	Do func(ctx context.Context, call booking.Call) (booking.Response, error)
	// Admit waits until the workspace may send the call. The returned release must be called when the call has ended.
	Admit func(ctx context.Context, workspace config.Workspace) (release func(), err error)
	// ServiceOf returns the service of a name from the current configuration.
	ServiceOf func(name string) (config.Service, bool)
	// WorkspaceOf returns the workspace of an authenticated request.
	WorkspaceOf func(c *gin.Context) config.Workspace
	// WriteError writes the error response.
	WriteError func(c *gin.Context, err error)
	Metrics    *telemetry.Metrics
	// Ending is that of Server.
	Ending context.Context
	// MaxBodyBytes bounds a request's body. Zero means DefaultMaxServiceBodyBytes.
	MaxBodyBytes int
}

// Handle serves requests of any method to /services/:service/*path.
func (h *ServiceHandler) Handle(c *gin.Context) {
	start := time.Now()
	workspace := h.WorkspaceOf(c)
	response, err := h.admitAndSend(c, workspace)
	h.Metrics.Observe(telemetry.BookingTime, workspace.Name, time.Since(start))
	if err != nil {
		f := failure.Of(err)
		h.Metrics.Count(telemetry.Bookings, f.Outcome().String())
		h.Metrics.Count(telemetry.Requests, f.Code())
		c.Header(outcomeHeader, f.Outcome().String())
		h.WriteError(c, err)
		return
	}
	h.Metrics.Count(telemetry.Bookings, response.Outcome.String())
	h.Metrics.Count(telemetry.Requests, response.Outcome.String())
	writeResponse(c, response)
}

// admitAndSend waits for the admission and for another request with the same key until the daemon ends, too.
func (h *ServiceHandler) admitAndSend(c *gin.Context, workspace config.Workspace) (booking.Response, error) {
	ctx, cancel := context.WithCancel(c.Request.Context())
	defer cancel()
	if h.Ending != nil {
		defer context.AfterFunc(h.Ending, cancel)()
	}
	release, err := h.Admit(ctx, workspace)
	if err != nil && ended(h.Ending) {
		return booking.Response{}, errors.Trace(StoppedError{Result: failure.NotRun, Cause: err})
	}
	if err != nil {
		return booking.Response{}, err
	}
	defer release()
	response, err := h.send(ctx, c, workspace.Name)
	if err != nil && ended(h.Ending) {
		return response, errors.Trace(StoppedError{Result: failure.Of(err).Outcome(), Cause: err})
	}
	return response, err
}

// send builds the call from the request and sends it.
func (h *ServiceHandler) send(ctx context.Context, c *gin.Context, workspace string) (booking.Response, error) {
	name, path, err := splitPath(c.Request.URL)
	if err != nil {
		return booking.Response{}, err
	}
	service, ok := h.ServiceOf(name)
	if !ok {
		return booking.Response{}, errors.Trace(UnknownServiceError{Service: name})
	}
	keys := c.Request.Header.Values(idempotencyKeyHeader)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKeyBytes)) {
		return booking.Response{}, errors.Trace(InvalidKeyError{Count: len(keys)})
	}
	body, err := io.ReadAll(
		http.MaxBytesReader(c.Writer, c.Request.Body, int64(cmp.Or(h.MaxBodyBytes, DefaultMaxServiceBodyBytes))),
	)
	if err != nil {
		_, tooLarge := errors.AsType[*http.MaxBytesError](err)
		return booking.Response{}, errors.Trace(ServiceBodyError{TooLarge: tooLarge, Cause: err})
	}
	call := booking.Call{Workspace: workspace, Service: service, Ending: h.Ending, Request: booking.Request{
		Method: c.Request.Method, Path: path, Query: c.Request.URL.RawQuery,
		Header: endToEndHeader(c.Request.Header), Body: body,
	}}
	// The API key must not reach the endpoint.
	call.Request.Header.Del("Authorization")
	if len(keys) == 1 {
		call.Key = keys[0]
	}
	return h.Do(ctx, call)
}

// splitPath returns the service's name and the path at the service. The path stays escaped, so that an encoded slash
// does not separate segments.
func splitPath(u *url.URL) (service, path string, err error) {
	rest := strings.TrimPrefix(u.EscapedPath(), servicePrefix)
	escaped, path, _ := strings.Cut(rest, "/")
	service, err = url.PathUnescape(escaped)
	if err != nil {
		return "", "", errors.Trace(UnknownServiceError{Service: escaped})
	}
	return service, "/" + path, nil
}

// endToEndHeader returns a copy without the hop-by-hop headers.
func endToEndHeader(header http.Header) http.Header {
	result := header.Clone()
	if result == nil {
		result = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			result.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		result.Del(name)
	}
	return result
}

// writeResponse passes the response on to the caller.
func writeResponse(c *gin.Context, response booking.Response) {
	header := endToEndHeader(response.Header)
	for _, name := range endpointHeaders {
		header.Del(name)
	}
	for name, values := range header {
		c.Writer.Header()[name] = values
	}
	c.Header(outcomeHeader, response.Outcome.String())
	if len(response.Body) > 0 {
		// Without a length, the end of the connection would end the body over HTTP/1.0, also if the process is stopped.
		c.Header("Content-Length", strconv.Itoa(len(response.Body)))
	}
	c.Status(response.Status)
	c.Writer.WriteHeaderNow()
	if len(response.Body) > 0 {
		// A write error means that the caller has disconnected. The outcome has already been recorded.
		_, _ = c.Writer.Write(response.Body)
	}
}

// UnknownServiceError reports a service that is not in the configuration.
type UnknownServiceError struct{ Service string }

func (e UnknownServiceError) Error() string {
	return fmt.Sprintf("service %q does not exist", e.Service)
}

func (e UnknownServiceError) Code() string { return "unknown-service" }

func (e UnknownServiceError) Outcome() failure.Outcome { return failure.NotRun }

// InvalidKeyError reports an empty, overlong or repeated Idempotency-Key header. Count is the number of these headers.
type InvalidKeyError struct{ Count int }

func (e InvalidKeyError) Error() string {
	return fmt.Sprintf("want at most one Idempotency-Key header, of 1 to %d bytes; headers: %d", maxKeyBytes, e.Count)
}

func (e InvalidKeyError) Code() string { return "invalid-idempotency-key" }

func (e InvalidKeyError) Outcome() failure.Outcome { return failure.NotRun }

// ServiceBodyError reports a request body that is too large or was not received completely. Cause is the read error.
type ServiceBodyError struct {
	TooLarge bool
	Cause    error
}

func (e ServiceBodyError) Error() string { return "cannot read the request body: " + e.Cause.Error() }

func (e ServiceBodyError) Unwrap() error { return e.Cause }

func (e ServiceBodyError) Code() string {
	if e.TooLarge {
		return "body-too-large"
	}
	return "body-incomplete"
}

func (e ServiceBodyError) Outcome() failure.Outcome { return failure.NotRun }
