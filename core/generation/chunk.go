package generation

// Finish is the reason that an engine gives for the end of a generation.
type Finish string

// Finish reasons of the published completions format; NotFinished stands for null.
const (
	NotFinished  Finish = ""
	FinishStop   Finish = "stop"
	FinishLength Finish = "length"
)

// Chunk is a run of output token ids at a known offset of a generation.
type Chunk struct {
	generation string
	attempt    int
	spec       Spec
	offset     int
	tokens     []uint32
	text       string
	finish     Finish
	event      []byte
}

// NewChunk returns a Chunk. The offset counts from the generation's first output token.
func NewChunk(generation string, attempt int, spec Spec, offset int, tokens []uint32, text string, finish Finish) Chunk {
	return Chunk{
		generation: generation,
		attempt:    attempt,
		spec:       spec,
		offset:     offset,
		tokens:     tokens,
		text:       text,
		finish:     finish,
	}
}

// NewEventChunk returns a Chunk that is one opaque event. Ids count from 1, and the event keeps its bytes as they came.
func NewEventChunk(generation string, attempt, id int, event []byte) Chunk {
	return Chunk{generation: generation, attempt: attempt, offset: id - 1, event: event}
}

// Event returns the bytes of an opaque event, or nil.
func (c Chunk) Event() []byte { return c.event }

// Generation returns the id of the generation that the chunk belongs to.
func (c Chunk) Generation() string { return c.generation }

// Attempt returns the number of the attempt that produced the chunk.
func (c Chunk) Attempt() int { return c.attempt }

// Spec returns the weights that produced the chunk.
func (c Chunk) Spec() Spec { return c.spec }

// Offset returns the index of the first token id.
func (c Chunk) Offset() int { return c.offset }

// Tokens returns the token ids, which callers must not change.
func (c Chunk) Tokens() []uint32 { return c.tokens }

// Text returns the decoded text of the token ids.
func (c Chunk) Text() string { return c.text }

// Finish returns the reason of the end, or NotFinished.
func (c Chunk) Finish() Finish { return c.finish }
