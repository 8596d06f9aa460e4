package service

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	// freeBodyBytes is the part of each body that takes no share of the common memory, so that small responses do not
	// fail because of large ones.
	freeBodyBytes = 64 << 10
	// readBytes is the size of the reads, and of the steps in which memory is reserved.
	readBytes = 32 << 10
)

// bodyBuffer reads response bodies into memory, of which all bodies that are being read share a limit. An endpoint in
// trouble may send bytes without end. It is safe for concurrent use.
type bodyBuffer struct {
	reserved atomic.Int64
}

// readAll reads a body of up to maxBytes. length is the stated length of the body, or -1. memoryLimit applies to all
// bodies together, apart from the first freeBodyBytes of each; zero means no limit.
func (b *bodyBuffer) readAll(address string, from io.Reader, length, maxBytes, memoryLimit int64) ([]byte, error) {
	if length > maxBytes {
		return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: maxBytes})
	}
	var body bytes.Buffer
	var held int64
	defer func() { b.reserved.Add(-held) }()
	for {
		n, err := io.CopyN(&body, from, readBytes)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		if int64(body.Len()) > maxBytes {
			return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: maxBytes})
		}
		if body.Len() <= freeBodyBytes {
			continue
		}
		held += n
		if total := b.reserved.Add(n); memoryLimit > 0 && total > memoryLimit {
			return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: int64(body.Len())})
		}
	}
	if int64(body.Len()) > maxBytes {
		return nil, errors.Trace(TooLargeError{Endpoint: address, Limit: maxBytes})
	}
	return body.Bytes(), nil
}
