package service

import (
	"io"
	"net/http"

	"github.com/juju/errors"

	"radishhollow/io/memory"
)

const (
	// freeBodyBytes is the part of each body that takes no share of the common memory, so that small responses do not
	// fail because of large ones.
	freeBodyBytes = 64 << 10
	// firstBufferBytes is the size of the first buffer of a body, which doubles as the body is read.
	firstBufferBytes = 4 << 10
)

// readAll reads a body of up to maxBytes. length is the stated length of the body, or -1. The buffer and the share grow with
// the body, of which an endpoint in trouble may send bytes without end.
func readAll(address string, from io.Reader, length, maxBytes int64, share *memory.Share) ([]byte, error) {
	if length > maxBytes {
		return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: maxBytes})
	}
	limit := maxBytes
	if length >= 0 {
		limit = length
	}
	body := make([]byte, 0, min(firstBufferBytes, limit))
	// A body may end where its buffer does, so more memory is needed only for a further byte.
	var further [512]byte
	for {
		full := len(body) == cap(body)
		into := body[len(body):cap(body)]
		if full {
			into = further[:]
		}
		n, err := from.Read(into)
		size := int64(len(body) + n)
		if size > limit {
			return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: limit})
		}
		if full && n > 0 {
			grown := min(max(2*int64(cap(body)), size), limit)
			if !share.Grow(grown) {
				return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: int64(len(body))})
			}
			body = append(make([]byte, 0, grown), body...)
			copy(body[len(body):cap(body)], further[:n])
		}
		body = body[:size]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, errors.Trace(err)
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
