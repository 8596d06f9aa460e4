package generation

import (
	"fmt"

	"radishhollow/core/failure"
)

// GapError reports a chunk that starts after the next expected offset.
type GapError struct{ Want, Got int }

func (e GapError) Error() string {
	return fmt.Sprintf("chunk starts at offset %d, want %d", e.Got, e.Want)
}

func (e GapError) Code() string { return "stream-gap" }

func (e GapError) Outcome() failure.Outcome { return failure.Unknown }

// CrossedError reports a chunk of another generation or attempt, or one that contradicts the delivered ids.
type CrossedError struct {
	WantGeneration, GotGeneration string
	WantAttempt, GotAttempt       int
	Offset                        int
}

func (e CrossedError) Error() string {
	return fmt.Sprintf("chunk at offset %d of generation %s attempt %d, want %s attempt %d",
		e.Offset, e.GotGeneration, e.GotAttempt, e.WantGeneration, e.WantAttempt)
}

func (e CrossedError) Code() string { return "crossed-chunk" }

func (e CrossedError) Outcome() failure.Outcome { return failure.Unknown }

// SpecChangedError reports a chunk that was produced by other weights than the previous chunks.
type SpecChangedError struct{ Want, Got Spec }

func (e SpecChangedError) Error() string {
	return fmt.Sprintf("chunk was produced by spec %s, want %s", e.Got, e.Want)
}

func (e SpecChangedError) Code() string { return "spec-changed" }

func (e SpecChangedError) Outcome() failure.Outcome { return failure.Unknown }

// OverlapError reports a chunk that overlaps delivered ids and whose text cannot be cut at the next expected offset.
type OverlapError struct{ Offset, Want int }

func (e OverlapError) Error() string {
	return fmt.Sprintf("text of the chunk at offset %d cannot be cut at offset %d", e.Offset, e.Want)
}

func (e OverlapError) Code() string { return "chunk-overlap" }

func (e OverlapError) Outcome() failure.Outcome { return failure.Unknown }

// DigestError reports delivered ids, sent by the caller, that do not have the cursor's digest.
type DigestError struct{ Offset int }

func (e DigestError) Error() string {
	return fmt.Sprintf("resume_token_ids do not match the cursor's digest at offset %d", e.Offset)
}

func (e DigestError) Code() string { return "resume-mismatch" }

func (e DigestError) Outcome() failure.Outcome { return failure.NotRun }
