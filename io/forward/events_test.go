package forward

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
	"radishhollow/io/sse"
)

// Guards against joining the pieces of two runs: an engine that was asked to go on after some events and begins anew
// makes another run, whose later events do not continue the caller's.
func TestChunkerRejectsARunThatStartsAnew(t *testing.T) {
	body := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	for _, offset := range []int{1, 2} {
		c := &eventChunker{reader: sse.NewEventReader(strings.NewReader(body)), lastID: offset, offset: offset, mustContinue: true}
		_, err := c.next()
		restarted, ok := errors.AsType[RestartedRunError](err)
		require.True(t, ok, "%v", err)
		require.Equal(t, offset, restarted.Offset)
	}
	for offset, text := range map[int]string{0: body, 5: "id: 4\ndata: d\n\nid: 5\ndata: e\n\nid: 6\ndata: f\n\n"} {
		c := &eventChunker{reader: sse.NewEventReader(strings.NewReader(text)), lastID: offset, offset: offset, mustContinue: true}
		for range 3 {
			chunk, err := c.next()
			require.NoError(t, err)
			require.Equal(t, generation.NotFinished, chunk.Finish())
		}
		chunk, err := c.next()
		require.NoError(t, err)
		require.Equal(t, generation.FinishStop, chunk.Finish())
	}
}
