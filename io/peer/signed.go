package peer

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/juju/errors"

	"radishhollow/io/peer/rpc"
)

// Headers of signed calls, and the prefixes of the domains of signatures. Because the prefixes differ, the signature of
// a request is not valid for a response.
const (
	nonceHeader     = "Peer-Nonce"
	signatureHeader = "Peer-Signature"
	requestPrefix   = "question "
	responsePrefix  = "answer "
)

// signingClient signs the requests to peers and rejects responses that are not signed with one of the keys.
type signingClient struct {
	next rpc.HTTPClient
	keys *Keys
}

// Do implements rpc.HTTPClient.
func (c signingClient) Do(request *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Body = io.NopCloser(bytes.NewReader(body))
	nonce := newNonce()
	if signature := c.keys.sign(requestPrefix+request.URL.Path, nonce, body); signature != "" {
		request.Header.Set(nonceHeader, nonce)
		request.Header.Set(signatureHeader, signature)
	}
	response, err := c.next.Do(request)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !c.keys.verify(response.Header.Get(signatureHeader), responsePrefix+request.URL.Path, nonce, body) {
		return nil, errors.Trace(UnsignedError{Address: request.URL.Host})
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// signedContextKey is the key of the context value that states whether a call has a valid signature.
type signedContextKey struct{}

// isSigned reports whether a call has a valid signature, or there are no keys. Other calls get responses too, but
// Exchange does not merge the view that they contain.
func isSigned(ctx context.Context) bool {
	signed, _ := ctx.Value(signedContextKey{}).(bool)
	return signed
}

// signingHandler verifies the signatures of requests to a handler and signs the handler's responses. It passes on
// unsigned requests too; Server.Exchange calls isSigned, while Server.Config and Server.Instances do not.
func signingHandler(next http.Handler, keys *Keys) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, "the request body is too large", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		nonce := r.Header.Get(nonceHeader)
		signed := keys.verify(r.Header.Get(signatureHeader), requestPrefix+r.URL.Path, nonce, body)
		buffered := &bufferedResponseWriter{header: w.Header(), status: http.StatusOK}
		next.ServeHTTP(buffered, r.WithContext(context.WithValue(r.Context(), signedContextKey{}, signed)))
		if signature := keys.sign(responsePrefix+r.URL.Path, nonce, buffered.body.Bytes()); signature != "" {
			w.Header().Set(signatureHeader, signature)
		}
		w.WriteHeader(buffered.status)
		// The error is ignored because a peer that has closed the connection will call again.
		_, _ = w.Write(buffered.body.Bytes())
	})
}

// bufferedResponseWriter buffers a response body until it is signed.
type bufferedResponseWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (b *bufferedResponseWriter) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponseWriter) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponseWriter) Write(p []byte) (int, error) { return b.body.Write(p) }
