// Package booking sends plain-service calls so that a non-idempotent one runs at most once.
package booking

import (
	"net/http"

	"radishhollow/core/failure"
)

// Request is one call of a plain service as the caller sent it.
type Request struct {
	Method string
	// Path is the path in its escaped form, with a leading slash.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
	// Host is the Host header; empty means the endpoint's address.
	Host string
	// Target is the request target as the caller sent it, in place of Path and Query; empty where these hold.
	Target string
	// Reuse allows an idle connection. Without an echoed request id it is set for idempotent calls only.
	Reuse bool
}

// Response is a complete response of an endpoint or of a record.
type Response struct {
	Status  int
	Header  http.Header
	Body    []byte
	Outcome failure.Outcome
}

// refused tells whether the response claims that the request did not run.
func (r Response) refused() bool {
	return (r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable) &&
		r.Header.Get("Not-Run") == "1"
}

// redirect tells whether the response asks to send the same request, with its method and body, to another URL.
func (r Response) redirect() bool {
	return r.Status == http.StatusTemporaryRedirect || r.Status == http.StatusPermanentRedirect
}
