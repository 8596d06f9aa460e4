package generation

import "strings"

// Log holds what has been delivered of one generation and decides which chunks continue it.
type Log struct {
	generation string
	prompt     []uint32
	// base is the number of delivered ids that this entry does not hold; it is set after a resume by cursor alone.
	base      int
	delivered []uint32
	digest    Digest
	attempt   int
	spec      Spec
	finish    Finish
	text      strings.Builder
	// events tells that the log counts opaque events rather than token ids.
	events bool
	// bounds maps the offset at which a delivered chunk started or ended to its place in text.
	bounds map[int]int
}

// NewLog returns the Log of a generation of which nothing has been delivered.
func NewLog(generation string, prompt []uint32) *Log {
	return &Log{generation: generation, prompt: prompt, bounds: map[int]int{0: 0}}
}

// ResumeLog returns the Log of the generation that the cursor describes. Held is nil when the delivered ids are not
// known; otherwise its ids up to the cursor's offset must have the cursor's digest.
func ResumeLog(cursor Cursor, prompt, held []uint32) (*Log, error) {
	spec, err := ParseSpec(cursor.Spec)
	if err != nil {
		return nil, err
	}
	l := &Log{generation: cursor.Generation, prompt: prompt, attempt: cursor.Attempt, spec: spec}
	l.bounds = map[int]int{cursor.Offset: 0}
	l.digest = cursor.Digest
	if held == nil {
		l.base = cursor.Offset
		return l, nil
	}
	if len(held) != cursor.Offset || DigestOf(held) != cursor.Digest {
		return nil, DigestError{Offset: cursor.Offset}
	}
	l.delivered = append([]uint32(nil), held...)
	return l, nil
}

// NewEventLog returns the Log of a stream of opaque events, of which the caller has the first ones already.
func NewEventLog(generation string, delivered int) *Log {
	return &Log{generation: generation, base: delivered, events: true}
}

// Generation returns the generation's id.
func (l *Log) Generation() string { return l.generation }

// Len returns the number of delivered ids, which is also the next expected offset.
func (l *Log) Len() int { return l.base + len(l.delivered) }

// Complete tells whether the log holds all that a resume on another engine needs: every delivered id, or the number of
// delivered events.
func (l *Log) Complete() bool { return l.base == 0 || l.events }

// Delivered returns the delivered ids that the log holds, which callers must not change.
func (l *Log) Delivered() []uint32 { return l.delivered }

// Text returns the text delivered by this entry.
func (l *Log) Text() string { return l.text.String() }

// Digest returns the rolling digest of all delivered ids.
func (l *Log) Digest() Digest { return l.digest }

// Attempt returns the number of the current attempt.
func (l *Log) Attempt() int { return l.attempt }

// Spec returns the weights that produced the delivered ids; it is zero before the first.
func (l *Log) Spec() Spec { return l.spec }

// Finish returns the reason of the end, or NotFinished.
func (l *Log) Finish() Finish { return l.finish }

// PromptLen returns the number of ids of the caller's prompt.
func (l *Log) PromptLen() int { return len(l.prompt) }

// Raise starts the next attempt; chunks of earlier ones are refused from here on.
func (l *Log) Raise() int {
	l.attempt++
	return l.attempt
}

// Input returns the caller's prompt followed by the delivered ids.
func (l *Log) Input() []uint32 {
	input := make([]uint32, 0, len(l.prompt)+len(l.delivered))
	return append(append(input, l.prompt...), l.delivered...)
}

// Accept adds the part of the chunk that continues the generation and returns that part. Fresh is false when the
// chunk holds nothing new. A refused chunk changes nothing.
func (l *Log) Accept(chunk Chunk) (part Chunk, fresh bool, err error) {
	if err := l.check(chunk); err != nil {
		return Chunk{}, false, err
	}
	if l.events {
		return l.acceptEvent(chunk)
	}
	next, end := l.Len(), chunk.offset+len(chunk.tokens)
	ends := chunk.finish != NotFinished
	if l.finish != NotFinished || end < next || (end == next && !ends) {
		return Chunk{}, false, nil
	}
	text, err := l.cut(chunk, next)
	if err != nil {
		return Chunk{}, false, err
	}
	part = NewChunk(chunk.generation, chunk.attempt, chunk.spec, next, chunk.tokens[next-chunk.offset:], text, chunk.finish)
	l.add(part)
	return part, true, nil
}

// acceptEvent takes the next event or the end. An event that was delivered already is not fresh.
func (l *Log) acceptEvent(chunk Chunk) (part Chunk, fresh bool, err error) {
	if l.finish != NotFinished || (chunk.finish == NotFinished && chunk.offset < l.Len()) {
		return Chunk{}, false, nil
	}
	l.finish = chunk.finish
	if chunk.event != nil {
		l.base++
	}
	return chunk, true, nil
}

func (l *Log) check(chunk Chunk) error {
	next := l.Len()
	switch {
	case chunk.generation != l.generation || chunk.attempt != l.attempt || !l.agrees(chunk):
		return CrossedError{
			WantGeneration: l.generation, GotGeneration: chunk.generation,
			WantAttempt: l.attempt, GotAttempt: chunk.attempt, Offset: chunk.offset,
		}
	case !l.spec.IsZero() && chunk.spec != l.spec:
		return SpecError{Want: l.spec, Got: chunk.spec}
	case chunk.offset > next:
		return GapError{Want: next, Got: chunk.offset}
	}
	return nil
}

// agrees compares the chunk's ids with delivered ids at the same offsets. An end before the delivered ids' end is a
// contradiction, too.
func (l *Log) agrees(chunk Chunk) bool {
	if chunk.offset < 0 {
		return false
	}
	if chunk.finish != NotFinished && chunk.offset+len(chunk.tokens) < l.Len() {
		return false
	}
	for i, id := range chunk.tokens {
		at := chunk.offset + i - l.base
		if at >= len(l.delivered) {
			break
		}
		if at >= 0 && l.delivered[at] != id {
			return false
		}
	}
	return true
}

// cut returns the chunk's text from the given offset on. Text has no fixed length per id, so the cut is possible only
// where the chunk starts at the bound of a delivered one.
func (l *Log) cut(chunk Chunk, next int) (string, error) {
	if chunk.offset == next || chunk.text == "" {
		return chunk.text, nil
	}
	if chunk.offset+len(chunk.tokens) == next {
		return "", nil
	}
	start, known := l.bounds[chunk.offset]
	if !known {
		return "", OverlapError{Offset: chunk.offset, Want: next}
	}
	rest, ok := strings.CutPrefix(chunk.text, l.text.String()[start:])
	if !ok {
		return "", OverlapError{Offset: chunk.offset, Want: next}
	}
	return rest, nil
}

func (l *Log) add(part Chunk) {
	l.spec = part.spec
	l.finish = part.finish
	for _, id := range part.tokens {
		l.digest = l.digest.Add(id)
	}
	l.delivered = append(l.delivered, part.tokens...)
	l.text.WriteString(part.text)
	l.bounds[l.Len()] = l.text.Len()
}
