package sse_test

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/io/sse"
)

// Guards against an event whose bytes are altered, and against an incomplete event that is returned.
func TestEventReader(t *testing.T) {
	first, second := "id: 7\r\ndata: a\r\n\r\n", "x-version: 3\nid:8\ndata: b\ndata: c\n\n"
	r := sse.NewEventReader(strings.NewReader(first + second + "id: 9\ndata: ha"))
	id, event, err := r.Next()
	require.NoError(t, err)
	require.Equal(t, 7, id)
	require.Equal(t, first, string(event))
	id, event, err = r.Next()
	require.NoError(t, err)
	require.Equal(t, 8, id)
	require.Equal(t, second, string(event))
	_, _, err = r.Next()
	_, truncated := errors.AsType[sse.TruncatedError](err)
	require.True(t, truncated)
}

// Guards against a regular end of the body that is reported as a truncation, and against an event of unbounded size.
func TestEventReaderEnds(t *testing.T) {
	_, _, err := sse.NewEventReader(strings.NewReader("")).Next()
	require.ErrorIs(t, err, io.EOF)
	_, _, err = sse.NewEventReader(io.MultiReader(strings.NewReader("data: "), endlessLine{})).Next()
	_, truncated := errors.AsType[sse.TruncatedError](err)
	require.True(t, truncated)
}

type endlessLine struct{}

func (endlessLine) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: x\n\nid: 2\n\n"))
	f.Add([]byte("\n\n\r\nid: -4\n\n"))
	f.Fuzz(func(t *testing.T, input []byte) {
		r := sse.NewEventReader(bytes.NewReader(input))
		var whole []byte
		for {
			_, event, err := r.Next()
			if err != nil {
				break
			}
			whole = append(whole, event...)
		}
		if !bytes.HasPrefix(input, whole) {
			t.Fatal("events differ from the input")
		}
	})
}

// Guards against a line that fills the reader's buffer and whose end is taken for that of the event, so that the event is
// joined with the next one.
func TestEventReaderKeepsLongLines(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		for _, buffers := range []int{1, 2} {
			for length := buffers*4096 - 3; length <= buffers*4096+3; length++ {
				first := "id: 1" + end + "data: " + strings.Repeat("x", length-len("data: ")) + end + "data: y" + end + end
				second := "id: 2" + end + end
				reader := sse.NewEventReader(strings.NewReader(first + second))
				for id, want := range []string{first, second} {
					got, event, err := reader.Next()
					require.NoError(t, err)
					require.Equal(t, id+1, got, "a line of %d bytes", length)
					require.True(t, bytes.Equal([]byte(want), event), "a line of %d bytes", length)
				}
				_, _, err := reader.Next()
				require.ErrorIs(t, err, io.EOF)
			}
		}
	}
}
