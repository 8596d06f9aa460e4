package sse_test

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
	"radishhollow/io/sse"
)

// Guards against a stream that cannot be given up until its request ends, because its engine has sent more than the buffer
// holds and nobody takes the rest.
func TestCloseWithAFullBuffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		canceled := false
		stream := sse.NewStream(t.Context(), io.NopCloser(strings.NewReader("")), func() { canceled = true }, func() (generation.Chunk, error) {
			return generation.Chunk{}, nil
		})
		_, err := stream.Next(t.Context())
		require.NoError(t, err)
		synctest.Wait()
		require.NoError(t, stream.Close())
		require.True(t, canceled)
	})
}
