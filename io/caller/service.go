package caller

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
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
	servicePrefix = "/services/"
	outcomeHeader = "Outcome"
	keyHeader     = "Idempotency-Key"
	// maxKey bounds an idempotency key in bytes.
	maxKey = 255
)

// hopByHop lists the headers that belong to one connection, and those that net/http sets itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endpointHeaders are between endpoints and this system; the outcome header tells callers what they can rely on.
var endpointHeaders = []string{"Not-Run", "Endpoint-State", "Endpoint-Incarnation"}

// ServiceHandler passes plain-service calls to the sender. The fields are set before use.
type ServiceHandler struct {
	// Do executes a call; booking.Sender.Do fits.
	Do func(ctx context.Context, call booking.Call) (booking.Response, error)
	// Admit waits for the workspace's turn.
	Admit func(ctx context.Context, workspace config.Workspace) (release func(), err error)
	// ServiceOf returns the service of a name from the configuration in force.
	ServiceOf func(name string) (config.Service, bool)
	// WorkspaceOf returns the workspace of an authenticated request.
	WorkspaceOf func(c *gin.Context) config.Workspace
	// WriteError writes the error body.
	WriteError func(c *gin.Context, err error)
	Metrics    *telemetry.Metrics
	// MaxBodyBytes bounds a request's body in bytes. Zero means DefaultMaxServiceBody.
	MaxBodyBytes int
}

// Handle serves any method on /services/:service/*path.
func (h *ServiceHandler) Handle(c *gin.Context) {
	begin := time.Now()
	workspace := h.WorkspaceOf(c)
	response, err := h.admitted(c, workspace)
	h.Metrics.Observe(telemetry.BookingTime, workspace.Name, time.Since(begin))
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

func (h *ServiceHandler) admitted(c *gin.Context, workspace config.Workspace) (booking.Response, error) {
	release, err := h.Admit(c.Request.Context(), workspace)
	if err != nil {
		return booking.Response{}, err
	}
	defer release()
	return h.do(c, workspace.Name)
}

func (h *ServiceHandler) do(c *gin.Context, workspace string) (booking.Response, error) {
	name, path, err := splitPath(c.Request.URL)
	if err != nil {
		return booking.Response{}, err
	}
	service, ok := h.ServiceOf(name)
	if !ok {
		return booking.Response{}, errors.Trace(UnknownServiceError{Service: name})
	}
	keys := c.Request.Header.Values(keyHeader)
	if len(keys) > 1 || (len(keys) == 1 && (keys[0] == "" || len(keys[0]) > maxKey)) {
		return booking.Response{}, errors.Trace(InvalidKeyError{Count: len(keys)})
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, int64(cmp.Or(h.MaxBodyBytes, DefaultMaxServiceBody))))
	if err != nil {
		_, tooLarge := errors.AsType[*http.MaxBytesError](err)
		return booking.Response{}, errors.Trace(ServiceBodyError{TooLarge: tooLarge, Cause: err})
	}
	call := booking.Call{Workspace: workspace, Service: service, Request: booking.Request{
		Method: c.Request.Method, Path: path, Query: c.Request.URL.RawQuery,
		Header: endToEnd(c.Request.Header), Body: body,
	}}
	// The API key is for this system only.
	call.Request.Header.Del("Authorization")
	if len(keys) == 1 {
		call.Key = keys[0]
	}
	return h.Do(c.Request.Context(), call)
}

// splitPath works on the escaped path, so that an encoded slash stays part of its segment.
func splitPath(u *url.URL) (service, path string, err error) {
	rest := strings.TrimPrefix(u.EscapedPath(), servicePrefix)
	escaped, path, _ := strings.Cut(rest, "/")
	service, err = url.PathUnescape(escaped)
	if err != nil {
		return "", "", errors.Trace(UnknownServiceError{Service: escaped})
	}
	return service, "/" + path, nil
}

// endToEnd returns a copy without the headers of one connection.
func endToEnd(header http.Header) http.Header {
	copied := header.Clone()
	if copied == nil {
		copied = http.Header{}
	}
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		copied.Del(name)
	}
	return copied
}

// writeResponse passes the response on.
func writeResponse(c *gin.Context, response booking.Response) {
	header := endToEnd(response.Header)
	for _, name := range endpointHeaders {
		header.Del(name)
	}
	for name, values := range header {
		c.Writer.Header()[name] = values
	}
	c.Header(outcomeHeader, response.Outcome.String())
	c.Status(response.Status)
	c.Writer.WriteHeaderNow()
	if len(response.Body) > 0 {
		// A failed write means that the caller has left; the outcome is recorded already.
		_, _ = c.Writer.Write(response.Body)
	}
}

// UnknownServiceError reports a service that the configuration does not name.
type UnknownServiceError struct{ Service string }

// Error implements error.
func (e UnknownServiceError) Error() string { return fmt.Sprintf("there is no service %q", e.Service) }

// Code implements failure.Failure.
func (e UnknownServiceError) Code() string { return "unknown-service" }

// Outcome implements failure.Failure.
func (e UnknownServiceError) Outcome() failure.Outcome { return failure.NotRun }

// InvalidKeyError reports an empty, overlong or repeated Idempotency-Key header.
type InvalidKeyError struct{ Count int }

// Error implements error.
func (e InvalidKeyError) Error() string {
	return fmt.Sprintf("one Idempotency-Key header of 1 to %d bytes is allowed; there are %d", maxKey, e.Count)
}

// Code implements failure.Failure.
func (e InvalidKeyError) Code() string { return "invalid-idempotency-key" }

// Outcome implements failure.Failure.
func (e InvalidKeyError) Outcome() failure.Outcome { return failure.NotRun }

// ServiceBodyError reports a request body that is too large or was not received completely.
type ServiceBodyError struct {
	TooLarge bool
	Cause    error
}

// Error implements error.
func (e ServiceBodyError) Error() string { return "request body: " + e.Cause.Error() }

// Unwrap returns the error of the read.
func (e ServiceBodyError) Unwrap() error { return e.Cause }

// Code implements failure.Failure.
func (e ServiceBodyError) Code() string {
	if e.TooLarge {
		return "body-too-large"
	}
	return "body-incomplete"
}

// Outcome implements failure.Failure.
func (e ServiceBodyError) Outcome() failure.Outcome { return failure.NotRun }
