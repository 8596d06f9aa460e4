package service

import (
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"

	"radishhollow/io/memory"
)

const (
	// freeBodyBytes is the part of each body that takes no share of the common memory, so that small responses do not
	// fail because of large ones.
	freeBodyBytes = 64 << 10
	// readBytes is the size of the reads, and of the steps in which memory is reserved.
	readBytes = 32 << 10
)

// readAll reads a body of up to maxBytes. length is the stated length of the body, or -1. The share grows with the body, of
// which an endpoint in trouble may send bytes without end.
func readAll(address string, from io.Reader, length, maxBytes int64, share *memory.Share) ([]byte, error) {
	if length > maxBytes {
		return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: maxBytes})
	}
	var body bytes.Buffer
	for {
		_, err := io.CopyN(&body, from, readBytes)
		size := int64(body.Len())
		if size > maxBytes {
			return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: maxBytes})
		}
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		if !share.Grow(size) {
			return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: size})
		}
	}
}

// ReadBody reads the body of a response of Open, of up to maxBytes. The body takes a share of Memory until release is called,
// which the caller must do also after an error.
func (c *Client) ReadBody(address string, response *http.Response, maxBytes int64) (body []byte, release func(), err error) {
	share := memory.NewShare(c.Memory, freeBodyBytes)
	body, err = readAll(address, response.Body, response.ContentLength, maxBytes, &share)
	return body, share.Release, err
}
