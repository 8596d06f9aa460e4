package service

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"
)

// uploadSettleTime bounds the wait for the result of the last write of a request whose response has ended. The connection is
// at its end by then, so a write that is still in flight fails, unless the kernel has taken its data already.
const uploadSettleTime = time.Second

// upload is the transfer of one request to its endpoint.
type upload struct {
	done chan struct{}
	// err is the error of the writes. It is set before done is closed.
	err error
}

func newUpload() *upload { return &upload{done: make(chan struct{})} }

// finish is called once by net/http when the request has been written, or its write has failed.
func (u *upload) finish(info httptrace.WroteRequestInfo) {
	u.err = info.Err
	close(u.done)
}

// check returns an UploadError unless the whole request has been written.
func (u *upload) check(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, uploadSettleTime)
	defer cancel()
	select {
	case <-u.done:
		if u.err == nil {
			return nil
		}
		return errors.Trace(UploadError{Cause: u.err})
	case <-ctx.Done():
		return errors.Trace(UploadError{Cause: ctx.Err()})
	}
}

// unframedBody is a body that ends with its connection. If the endpoint resets the connection while the request is still
// being written, Linux reports the reset to that write only, and the read sees an orderly end.
type unframedBody struct {
	io.ReadCloser
	ctx    context.Context
	upload *upload
}

// Read returns an UploadError in place of io.EOF if the request was not written completely.
func (b *unframedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if uploadErr := b.upload.check(b.ctx); uploadErr != nil {
			return n, uploadErr
		}
	}
	return n, err
}

// isUnframed reports whether the body of a response has neither a length nor chunks.
func isUnframed(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}
