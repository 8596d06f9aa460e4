package engine

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against unbounded memory for a stream without line or event ends, and against a truncated event that counts as
// complete.
func TestStreamReaderFaults(t *testing.T) {
	long := "data: " + strings.Repeat("x", maxLineBytes/2) + "\n"
	tests := []struct {
		name  string
		in    string
		fault StreamFault
	}{
		{"line", strings.Repeat("x", maxLineBytes+1), FaultLineTooLong},
		{"event", strings.Repeat(long, 5), FaultEventTooLong},
		{"cut in a line", "data: {", FaultTruncated},
		{"cut before the blank line", "data: {}\n", FaultTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := newStreamReader(strings.NewReader(tt.in)).next()
			var fault StreamError
			require.ErrorAs(t, err, &fault)
			require.Equal(t, tt.fault, fault.Fault)
		})
	}
}

// Guards against a panic, an unbounded event and an untyped error for any input, and against a result that depends on
// how the input is split into reads.
func FuzzStreamReader(f *testing.F) {
	f.Add([]byte("data: {\"id\":\"g\"}\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		whole, err := readAll(bytes.NewReader(data))
		split, splitErr := readAll(io.MultiReader(bytes.NewReader(data[:len(data)/2]), bytes.NewReader(data[len(data)/2:])))
		require.Equal(t, whole, split)
		require.Equal(t, err, splitErr)
		var fault StreamError
		if !errors.Is(err, io.EOF) {
			require.ErrorAs(t, err, &fault)
		}
		for _, e := range whole {
			require.LessOrEqual(t, len(e.data), maxEventBytes)
			if _, err := decodeChunk(e); err != nil {
				require.ErrorAs(t, err, &fault)
			}
		}
	})
}

func readAll(in io.Reader) ([]event, error) {
	r := newStreamReader(in)
	var all []event
	for {
		e, err := r.next()
		if err != nil {
			return all, err
		}
		all = append(all, e)
	}
}
