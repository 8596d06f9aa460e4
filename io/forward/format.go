// Package forward serves callers whose requests are passed on unchanged by the routes of the configuration.
package forward

import "net/http"

// Format holds the names and encodings of the headers that callers and endpoints use. A name that is empty is not used.
type Format struct {
	// RequestID is echoed by endpoints, so that a late answer is told from the right one.
	RequestID string
	// Deadline holds the milliseconds that are left to answer.
	Deadline string
	// LastEventID holds the id of the last event that the caller has.
	LastEventID string
	// Signature marks the answer of an endpoint.
	Signature string
	// NotRun marks the answer of an endpoint that did not run the request.
	NotRun string
	// Workspace tells the endpoint whose key the caller has shown.
	Workspace string
	// ExpectedIncarnation holds the incarnation of the endpoint that is to run the request.
	ExpectedIncarnation string
	// Priority holds the rank of a run at an engine; 0 is first.
	Priority string
	// BackupAddress holds the address of the engine that gets a copy of the run's memory.
	BackupAddress string
	// ResumeFrom holds the address and id of such a copy, from which a run goes on.
	ResumeFrom string
	// Internal are headers that callers may not set.
	Internal []string
	// APIKey returns the API key of a request, or an empty text.
	APIKey func(header http.Header) string
	// TokenCounts returns the tokens of the prompt, and the most that may follow.
	TokenCounts func(header http.Header) (prompt, output int)
	// Affinity returns what identifies the prompt, or an empty text.
	Affinity func(header http.Header) string
}

// hopByHop are headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}
