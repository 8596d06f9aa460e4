package engine

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/juju/errors"

	"radishhollow/core/generation"
)

// nextChunk returns the next chunk, or io.EOF after the end marker. A stream that ends without it is truncated.
func (r *streamReader) nextChunk() (generation.Chunk, error) {
	e, err := r.next()
	if errors.Is(err, io.EOF) {
		return generation.Chunk{}, StreamError{Fault: FaultTruncated, Cause: io.ErrUnexpectedEOF}
	}
	if err != nil {
		return generation.Chunk{}, err
	}
	if bytes.Equal(e.data, []byte("[DONE]")) {
		return generation.Chunk{}, io.EOF
	}
	return decodeChunk(e)
}

func decodeChunk(e event) (generation.Chunk, error) {
	if e.name == "error" {
		return generation.Chunk{}, StreamError{Fault: FaultErrorEvent}
	}
	var body struct {
		ID      string `json:"id"`
		Spec    string `json:"system_fingerprint"`
		Attempt int    `json:"attempt"`
		Offset  int    `json:"offset"`
		Choices []struct {
			Text   string             `json:"text"`
			Tokens []uint32           `json:"token_ids"`
			Finish *generation.Finish `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(e.data, &body); err != nil {
		return generation.Chunk{}, StreamError{Fault: FaultMalformed, Cause: err}
	}
	spec, err := generation.ParseSpec(body.Spec)
	if err != nil || len(body.Choices) != 1 {
		return generation.Chunk{}, StreamError{Fault: FaultMalformed, Cause: err}
	}
	choice := body.Choices[0]
	finish := generation.NotFinished
	if choice.Finish != nil {
		finish = *choice.Finish
	}
	switch finish {
	case generation.NotFinished, generation.FinishStop, generation.FinishLength:
	default:
		return generation.Chunk{}, StreamError{Fault: FaultMalformed}
	}
	return generation.NewChunk(body.ID, body.Attempt, spec, body.Offset, choice.Tokens, choice.Text, finish), nil
}
