package generation

import "strings"

// Log records the delivered output of one generation and decides which chunks continue it. It is not safe for
// concurrent use.
type Log struct {
	generation string
	prompt     []uint32
	// base is the number of delivered ids or events that the field delivered does not hold: the ids before the cursor if
	// the caller resumed without sending them, or all opaque events.
	base      int
	delivered []uint32
	digest    Digest
	attempt   int
	// lastAttempt is the highest attempt number so far.
	lastAttempt int
	spec        Spec
	finish      Finish
	text        strings.Builder
	// opaqueEvents is true if the log counts opaque events rather than token ids.
	opaqueEvents bool
	// textOffsets maps the offsets at which delivered chunks start or end to byte offsets in text.
	textOffsets map[int]int
}

// NewLog returns the Log of a generation without delivered output.
func NewLog(generation string, prompt []uint32) *Log {
	return &Log{generation: generation, prompt: prompt, textOffsets: map[int]int{0: 0}}
}

// ResumeLog returns the Log of the generation that the cursor describes. DeliveredIDs is nil if the delivered ids are
// not known; otherwise it must hold as many ids as the cursor's offset and have the cursor's digest, or ResumeLog
// returns DigestError.
func ResumeLog(cursor Cursor, prompt, deliveredIDs []uint32) (*Log, error) {
	spec, err := ParseSpec(cursor.Spec)
	if err != nil {
		return nil, err
	}
	l := &Log{generation: cursor.Generation, prompt: prompt, attempt: cursor.Attempt, lastAttempt: cursor.Attempt, spec: spec}
	l.textOffsets = map[int]int{cursor.Offset: 0}
	l.digest = cursor.Digest
	if deliveredIDs == nil {
		l.base = cursor.Offset
		return l, nil
	}
	if len(deliveredIDs) != cursor.Offset || DigestOf(deliveredIDs) != cursor.Digest {
		return nil, DigestError{Offset: cursor.Offset}
	}
	l.delivered = append([]uint32(nil), deliveredIDs...)
	return l, nil
}

// NewEventLog returns the Log of a stream of opaque events, the first of which have already been delivered.
func NewEventLog(generation string, delivered int) *Log {
	return &Log{generation: generation, base: delivered, opaqueEvents: true}
}

// Generation returns the generation's id.
func (l *Log) Generation() string { return l.generation }

// Len returns the number of delivered ids or opaque events, which is also the next expected offset.
func (l *Log) Len() int { return l.base + len(l.delivered) }

// CanResumeElsewhere reports whether the log holds everything that a resume on another engine needs: all delivered ids,
// or the number of delivered events.
func (l *Log) CanResumeElsewhere() bool { return l.base == 0 || l.opaqueEvents }

// Delivered returns the delivered ids that the log holds, which callers must not change.
func (l *Log) Delivered() []uint32 { return l.delivered }

// Text returns the text delivered by this daemon.
func (l *Log) Text() string { return l.text.String() }

// Digest returns the rolling digest of all delivered ids.
func (l *Log) Digest() Digest { return l.digest }

// Attempt returns the number of the current attempt.
func (l *Log) Attempt() int { return l.attempt }

// Spec returns the weights that produced the delivered ids; it is zero before the first.
func (l *Log) Spec() Spec { return l.spec }

// Finish returns the finish reason, or NotFinished.
func (l *Log) Finish() Finish { return l.finish }

// PromptLen returns the number of ids of the caller's prompt.
func (l *Log) PromptLen() int { return len(l.prompt) }

// NextAttempt increments the attempt number and returns it. Chunks of earlier attempts are refused from then on.
func (l *Log) NextAttempt() int {
	l.lastAttempt++
	l.attempt = l.lastAttempt
	return l.attempt
}

// returnToAttempt makes an earlier attempt the current one again. Its number is not given to another attempt.
func (l *Log) returnToAttempt(number int) { l.attempt = number }

// Input returns the caller's prompt followed by the delivered ids.
func (l *Log) Input() []uint32 {
	input := make([]uint32, 0, len(l.prompt)+len(l.delivered))
	return append(append(input, l.prompt...), l.delivered...)
}

// Accept appends the part of the chunk that continues the generation and returns that part. Fresh is false if the chunk
// holds nothing new. A chunk that is refused with an error does not change the log.
func (l *Log) Accept(chunk Chunk) (part Chunk, fresh bool, err error) {
	if err := l.validate(chunk); err != nil {
		return Chunk{}, false, err
	}
	if l.opaqueEvents {
		return l.acceptEvent(chunk)
	}
	next, end := l.Len(), chunk.offset+len(chunk.tokens)
	ends := chunk.finish != NotFinished
	if l.finish != NotFinished || end < next || (end == next && !ends) {
		return Chunk{}, false, nil
	}
	text, err := l.textFrom(chunk, next)
	if err != nil {
		return Chunk{}, false, err
	}
	part = NewChunk(chunk.generation, chunk.attempt, chunk.spec, next, chunk.tokens[next-chunk.offset:], text, chunk.finish)
	l.appendPart(part)
	return part, true, nil
}

// acceptEvent accepts the next event or the end. An event that has already been delivered is not fresh.
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

// validate returns an error for a chunk that does not belong to the current attempt or leaves a gap.
func (l *Log) validate(chunk Chunk) error {
	next := l.Len()
	switch {
	case chunk.generation != l.generation || chunk.attempt != l.attempt || !l.matchesDelivered(chunk):
		return CrossedError{
			WantGeneration: l.generation, GotGeneration: chunk.generation,
			WantAttempt: l.attempt, GotAttempt: chunk.attempt, Offset: chunk.offset,
		}
	case !l.spec.IsZero() && chunk.spec != l.spec:
		return SpecChangedError{Want: l.spec, Got: chunk.spec}
	case chunk.offset > next:
		return GapError{Want: next, Got: chunk.offset}
	}
	return nil
}

// matchesDelivered reports whether the chunk's ids equal the delivered ids at the same offsets. A chunk that finishes
// the generation before the end of the delivered ids does not match either.
func (l *Log) matchesDelivered(chunk Chunk) bool {
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

// textFrom returns the part of the chunk's text that follows offset next. As the length of the text per id varies, the
// text can be cut only if the chunk starts where a delivered chunk starts or ends.
func (l *Log) textFrom(chunk Chunk, next int) (string, error) {
	if chunk.offset == next || chunk.text == "" {
		return chunk.text, nil
	}
	if chunk.offset+len(chunk.tokens) == next {
		return "", nil
	}
	start, known := l.textOffsets[chunk.offset]
	if !known {
		return "", OverlapError{Offset: chunk.offset, Want: next}
	}
	rest, ok := strings.CutPrefix(chunk.text, l.text.String()[start:])
	if !ok {
		return "", OverlapError{Offset: chunk.offset, Want: next}
	}
	return rest, nil
}

func (l *Log) appendPart(part Chunk) {
	l.spec = part.spec
	l.finish = part.finish
	for _, id := range part.tokens {
		l.digest = l.digest.Add(id)
	}
	l.delivered = append(l.delivered, part.tokens...)
	l.text.WriteString(part.text)
	l.textOffsets[l.Len()] = l.text.Len()
}
