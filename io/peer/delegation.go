package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/booking"
	"radishhollow/core/reach"
	"radishhollow/io/memory"
	"radishhollow/io/service"
)

// Headers of delegated requests and of their responses. The request is the caller's own, with its deadline, and gets
// delegationHeader, which holds a reach.Delegation in JSON.
const (
	delegationHeader = "Peer-Delegation"
	// versionHeader is the escaped version of the endpoint that serves a stream.
	versionHeader = "Peer-Version"
	// delegationDomain takes the place of a path in signatures.
	delegationDomain = "delegation"
)

// Delegator sends callers' requests to peers, which serve them in place of this daemon.
type Delegator struct {
	keys   *Keys
	self   string
	client *service.Client
}

// NewDelegator returns a Delegator whose bodies of responses share the given memory, or have no limit if it is nil.
func NewDelegator(keys *Keys, self string, dialTimeout, idleTimeout time.Duration, budget *memory.Budget) *Delegator {
	d := &Delegator{keys: keys, self: self, client: service.New(dialTimeout, idleTimeout)}
	d.client.Check, d.client.Memory = d.check, budget
	return d
}

// Close closes the idle connections.
func (d *Delegator) Close() error { return d.client.Close() }

// Send sends a request to the peer at address once, and returns its response with the body unread. The response's version
// is in delegation. Errors and the returned function are those of service.Client.Open.
func (d *Delegator) Send(
	ctx context.Context, address string, r booking.Request, delegation *reach.Delegation,
) (*http.Response, context.CancelFunc, error) {
	delegation.From = d.self
	mark, err := json.Marshal(delegation)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	r.Header = r.Header.Clone()
	nonce := newNonce()
	r.Header.Set(delegationHeader, string(mark))
	r.Header.Set(nonceHeader, nonce)
	r.Header.Set(signatureHeader, d.keys.sign(requestPrefix+delegationDomain, nonce, signedHead(r.Method, r.Target, r.Host, string(mark))))
	response, cancel, err := d.client.Open(ctx, address, r)
	if err != nil {
		return nil, nil, err
	}
	if text, ok := response.Header[versionHeader]; ok && len(text) == 1 {
		if version, err := url.QueryUnescape(text[0]); err == nil {
			delegation.SetServed(version)
		}
	}
	for _, name := range []string{versionHeader, signatureHeader} {
		response.Header.Del(name)
	}
	return response, cancel, nil
}

// ReadBody reads the body of a response, as service.Client.ReadBody does.
func (d *Delegator) ReadBody(address string, response *http.Response, maxBytes int64) ([]byte, func(), error) {
	return d.client.ReadBody(address, response, maxBytes)
}

// check rejects a response that no peer has signed: its status could promise what another process does not know.
func (d *Delegator) check(r booking.Request, head booking.ResponseHead) error {
	signed := signedStatus(head.Status, head.Header.Get(versionHeader))
	if !d.keys.verify(head.Header.Get(signatureHeader), responsePrefix+delegationDomain, r.Header.Get(nonceHeader), signed) {
		return UnsignedError{Address: r.Host}
	}
	return nil
}

func signedHead(method, target, host, mark string) []byte {
	// None of the parts of a request contains a line break.
	return []byte(method + "\n" + target + "\n" + host + "\n" + mark)
}

func signedStatus(status int, version string) []byte {
	return []byte(strconv.Itoa(status) + "\n" + version)
}

// serveDelegated passes a delegated request on to Server.Delegated, and signs the head of its response.
func (s *Server) serveDelegated(w http.ResponseWriter, r *http.Request) {
	mark, nonce := r.Header.Get(delegationHeader), r.Header.Get(nonceHeader)
	signature := r.Header.Get(signatureHeader)
	for _, name := range []string{delegationHeader, nonceHeader, signatureHeader} {
		r.Header.Del(name)
	}
	delegation := &reach.Delegation{}
	signed := s.Node.Keys.verify(signature, requestPrefix+delegationDomain, nonce, signedHead(r.Method, r.RequestURI, r.Host, mark))
	if !signed || json.Unmarshal([]byte(mark), delegation) != nil || s.Delegated == nil {
		http.Error(w, "the delegation is not signed, malformed, or not supported", http.StatusServiceUnavailable)
		return
	}
	s.Delegated(&delegatedWriter{ResponseWriter: w, keys: &s.Node.Keys, nonce: nonce, delegation: delegation}, r, delegation)
}

// delegatedWriter signs the head of a response.
type delegatedWriter struct {
	http.ResponseWriter
	keys        *Keys
	nonce       string
	delegation  *reach.Delegation
	wroteHeader bool
}

// Unwrap is for http.ResponseController.
func (w *delegatedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// WriteHeader writes the header with its signature.
func (w *delegatedWriter) WriteHeader(status int) {
	if !w.wroteHeader {
		w.wroteHeader = true
		header, text := w.Header(), ""
		if version, known := w.delegation.Served(); known {
			text = url.QueryEscape(version)
			header.Set(versionHeader, text)
		}
		if signature := w.keys.sign(responsePrefix+delegationDomain, w.nonce, signedStatus(status, text)); signature != "" {
			header.Set(signatureHeader, signature)
		}
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the body, after the header if that has not been written.
func (w *delegatedWriter) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Flush sends what has been written, and the header if that has not been written.
func (w *delegatedWriter) Flush() {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	// An error means that the peer has disconnected, which the next write reports.
	_ = http.NewResponseController(w.ResponseWriter).Flush()
}
