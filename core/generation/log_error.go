package generation

import (
	"fmt"

	"radishhollow/core/failure"
)

// GapError reports a chunk that starts after the next expected offset.
type GapError struct{ Want, Got int }

// Error implements error.
func (e GapError) Error() string { return fmt.Sprintf("chunk at offset %d, want %d", e.Got, e.Want) }

// Code implements failure.Failure.
func (e GapError) Code() string { return "stream-gap" }

// Outcome implements failure.Failure.
func (e GapError) Outcome() failure.Outcome { return failure.Unknown }

// CrossedError reports a chunk of another generation or attempt, or one that contradicts delivered ids.
type CrossedError struct {
	WantGeneration, GotGeneration string
	WantAttempt, GotAttempt       int
	Offset                        int
}

// Error implements error.
func (e CrossedError) Error() string {
	return fmt.Sprintf("chunk at offset %d of generation %s attempt %d, want %s attempt %d",
		e.Offset, e.GotGeneration, e.GotAttempt, e.WantGeneration, e.WantAttempt)
}

// Code implements failure.Failure.
func (e CrossedError) Code() string { return "crossed-chunk" }

// Outcome implements failure.Failure.
func (e CrossedError) Outcome() failure.Outcome { return failure.Unknown }

// SpecError reports a chunk produced by other weights than the chunks before it.
type SpecError struct{ Want, Got Spec }

// Error implements error.
func (e SpecError) Error() string { return fmt.Sprintf("chunk from %s, want %s", e.Got, e.Want) }

// Code implements failure.Failure.
func (e SpecError) Code() string { return "spec-changed" }

// Outcome implements failure.Failure.
func (e SpecError) Outcome() failure.Outcome { return failure.Unknown }

// OverlapError reports an overlapping chunk whose text cannot be cut at the next expected offset.
type OverlapError struct{ Offset, Want int }

// Error implements error.
func (e OverlapError) Error() string {
	return fmt.Sprintf("text of the chunk at offset %d cannot be cut at offset %d", e.Offset, e.Want)
}

// Code implements failure.Failure.
func (e OverlapError) Code() string { return "chunk-overlap" }

// Outcome implements failure.Failure.
func (e OverlapError) Outcome() failure.Outcome { return failure.Unknown }

// DigestError reports ids that do not have the expected digest.
type DigestError struct{ Offset int }

// Error implements error.
func (e DigestError) Error() string {
	return fmt.Sprintf("resume_token_ids do not match the cursor's digest at offset %d", e.Offset)
}

// Code implements failure.Failure.
func (e DigestError) Code() string { return "resume-mismatch" }

// Outcome implements failure.Failure.
func (e DigestError) Outcome() failure.Outcome { return failure.NotRun }
