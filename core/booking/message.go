// Package booking sends calls to plain services so that a non-idempotent call (a booking) is executed at most once. In
// share.ClassBooking and the metrics, a booking is any call to a plain service.
package booking

import (
	"net/http"

	"radishhollow/core/failure"
)

// Request is one HTTP request to a plain service, as the caller sent it.
type Request struct {
	Method string
	// Path is the escaped path, with a leading slash.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Host is the Host header. If it is empty, the address of the endpoint is sent.
	Host string
	// Target is the request target as the caller sent it. If it is not empty, it replaces Path and Query.
	Target string
	// ReuseConnection allows the request to use an idle connection. It is set for idempotent calls, and for others only
	// if the endpoint echoes the request id, so that a late response to another request is detected.
	ReuseConnection bool
	// MaxResponseBytes is the maximum size of the response body. Zero means the limit of the client.
	MaxResponseBytes int64
	// Keep receives the function that returns the memory of the response body to the client's budget, which is otherwise
	// returned when Send ends. It may be nil.
	Keep func(release func())
	// OnHead receives the head of the response before its body is read, unless the response is rejected. It may be nil.
	OnHead func(head ResponseHead)
}

// ResponseHead is a response without its body.
type ResponseHead struct {
	Status int
	Header http.Header
	// ConnectionReused is set if the connection carried another request before, so that the response may be a late one to
	// that request.
	ConnectionReused bool
}

// Response is a complete response, received from an endpoint or replayed from an idempotency record.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome failure.Outcome
	// ConnectionReused is set if the connection carried another request before, so that the response may be a late one to
	// that request where the endpoint echoes no request id.
	ConnectionReused bool
}

// isRefusal reports whether the response states that the request was not executed.
func (r Response) isRefusal() bool {
	return (r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable) &&
		r.Header.Get("Not-Run") == "1"
}

// PromisesNotRun reports whether callers and their HTTP libraries take a status for the promise that the request has not
// run, and send the request again.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isMethodPreservingRedirect reports whether the response is a redirect that repeats the request at another URL with
// the same method and body.
func (r Response) isMethodPreservingRedirect() bool {
	return r.Status == http.StatusTemporaryRedirect || r.Status == http.StatusPermanentRedirect
}
