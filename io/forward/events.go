package forward

import (
	"io"

	"github.com/juju/errors"

	"radishhollow/core/generation"
	"radishhollow/io/sse"
)

// eventChunker converts the events of a response body into chunks.
type eventChunker struct {
	reader     *sse.EventReader
	generation string
	attempt    int
	// lastID is the highest event id read so far. It starts as the offset of the attempt.
	lastID int
	// offset is that of the attempt, and emptyEnd the error for a body that ends without an event after it, or nil.
	offset   int
	emptyEnd error
	// mustContinue is set where the body must go on after offset, as that of a later engine.
	mustContinue bool
	ended        bool
}

// eventBody is a response body that returns the memory of its latest event when it is closed.
type eventBody struct {
	io.ReadCloser
	reader *sse.EventReader
}

// Close closes the body. It must not be called during next.
func (b eventBody) Close() error {
	b.reader.Close()
	return b.ReadCloser.Close()
}

func (c *eventChunker) body(body io.ReadCloser) io.ReadCloser {
	return eventBody{ReadCloser: body, reader: c.reader}
}

// next returns the next event as a chunk. At the end of the body it returns a chunk with FinishStop or emptyEnd, and io.EOF
// after that. An event without an id has offset -1, which generation.Log refuses.
func (c *eventChunker) next() (generation.Chunk, error) {
	if c.ended {
		return generation.Chunk{}, io.EOF
	}
	id, event, err := c.reader.Next()
	if errors.Is(err, io.EOF) {
		c.ended = true
		if c.lastID == c.offset && c.emptyEnd != nil {
			return generation.Chunk{}, c.emptyEnd
		}
		return generation.NewChunk(c.generation, c.attempt, generation.Spec{}, c.lastID, nil, "", generation.FinishStop), nil
	}
	if err != nil {
		return generation.Chunk{}, err
	}
	if id == 1 && c.offset > 0 && c.mustContinue {
		return generation.Chunk{}, RestartedRunError{Offset: c.offset}
	}
	c.lastID = max(id, c.lastID)
	return generation.NewEventChunk(c.generation, c.attempt, id, event), nil
}
