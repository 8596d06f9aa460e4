package forward

import (
	"io"

	"github.com/juju/errors"

	"radishhollow/core/generation"
	"radishhollow/io/sse"
)

// events turns the body of an answer into chunks.
type events struct {
	reader     *sse.EventReader
	generation string
	attempt    int
	count      int
	ended      bool
}

func (e *events) next() (generation.Chunk, error) {
	if e.ended {
		return generation.Chunk{}, io.EOF
	}
	id, event, err := e.reader.Next()
	if errors.Is(err, io.EOF) {
		e.ended = true
		return generation.NewChunk(e.generation, e.attempt, generation.Spec{}, e.count, nil, "", generation.FinishStop), nil
	}
	if err != nil {
		return generation.Chunk{}, err
	}
	e.count = max(id, e.count)
	return generation.NewEventChunk(e.generation, e.attempt, id, event), nil
}
