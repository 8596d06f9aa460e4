// Package pack compresses large values that daemons send to each other, as the difference to a value that the receiver
// has where there is one.
package pack

import (
	"math/bits"

	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"
)

const (
	// MaxBytes is the maximum size of a value. It is above the bodies of 4 MB that the operators' sheets allow.
	MaxBytes = 8 << 20
	// MinBytes is the size from which compressing a value is worth its processor time.
	MinBytes = 16 << 10

	minWindow = 64 << 10
	maxWindow = 2 * MaxBytes
	// baseID marks data that can only be read with a base.
	baseID = 1
)

// Encode compresses a value. A base is a value that the receiver has; it may be nil.
func Encode(value, base []byte) ([]byte, error) {
	if len(value) > MaxBytes {
		return nil, errors.Trace(TooLargeError{Bytes: len(value)})
	}
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		// The window reaches back to the beginning of the base.
		zstd.WithWindowSize(min(maxWindow, max(minWindow, 1<<bits.Len(uint(len(value)+len(base)))))),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(value, nil), nil
}

// Decode returns the value of the given size that Encode compressed with the same base.
func Decode(data, base []byte, size int) ([]byte, error) {
	if size < 0 || size > MaxBytes {
		return nil, errors.Trace(TooLargeError{Bytes: size})
	}
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxWindow(maxWindow),
		zstd.WithDecoderMaxMemory(MaxBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(data, make([]byte, 0, size))
	if err != nil {
		return nil, errors.Trace(CorruptError{Cause: err})
	}
	if len(value) != size {
		return nil, errors.Trace(CorruptError{Cause: SizeError{Want: size, Got: len(value)}})
	}
	return value, nil
}
