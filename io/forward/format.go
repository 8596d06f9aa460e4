// Package forward implements the HTTP server that forwards callers' requests along the routes of the configuration,
// without interpreting their bodies.
package forward

import (
	"net/http"

	"radishhollow/core/quarantine"
)

// Format defines the headers that callers and endpoints use: their names and how to decode them. All names are
// required.
type Format struct {
	// RequestID identifies the request. Endpoints echo it, so that a late response to another request is detected.
	RequestID string
	// Deadline holds the time left for the response, in milliseconds.
	Deadline string
	// LastEventID holds the id of the last event that the caller has received.
	LastEventID string
	// ResumedRequest holds the id of the request that brought the first event of the stream that the caller takes up again.
	ResumedRequest string
	// Signature marks a response as produced by an endpoint.
	Signature string
	// NotRun marks the response of an endpoint that did not run the request.
	NotRun string
	// Workspace names the workspace of the caller's API key to the endpoint.
	Workspace string
	// ExpectedIncarnation holds the incarnation of the endpoint that is to run the request.
	ExpectedIncarnation string
	// Priority holds the scheduling priority of a run at an engine; 0 is the highest.
	Priority string
	// CopyHolderAddress holds the address of the engine that receives a copy of the run's KV cache.
	CopyHolderAddress string
	// ResumeFrom identifies the copy from which an engine resumes a run. It is sent only to the engine that holds the
	// copy; kvCopy.reference describes the value.
	ResumeFrom string
	// Internal lists headers that are removed from callers' requests.
	Internal []string
	// APIKey returns the API key of a request, or an empty string.
	APIKey func(header http.Header) string
	// TokenCounts returns the number of prompt tokens and the maximum number of output tokens.
	TokenCounts func(header http.Header) (prompt, output int)
	// Affinity returns a key that identifies the prompt, or an empty string.
	Affinity func(header http.Header) string
	// Parts returns the parts of the prompt that other requests may share, in a bounded number.
	Parts func(header http.Header) []quarantine.Part
}

// hopByHop lists headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}
