package generation

import (
	"context"

	"radishhollow/core/route"
)

// Sampling holds the sampling parameters and limits of a request. MaxTokens 0 means no limit.
type Sampling struct {
	MaxTokens   int
	Temperature *float64
	TopP        *float64
	Seed        *int64
	Stop        []string
}

// Start is the request that starts one attempt on an engine.
type Start struct {
	Generation string
	Attempt    int
	// Model is the model's name, or model:adapter.
	Model string
	// Prompt is the caller's prompt followed by the first Offset output token ids.
	Prompt []uint32
	// Offset is the number of token ids or events that have been delivered. The engine continues after them.
	Offset   int
	Sampling Sampling
	// Priority orders the engine's queue. A lower number is served sooner.
	Priority int
	// Choice is the endpoint that Pick returned for the attempt.
	Choice route.Choice
	// Sent must be called once the request is about to be written to the engine. It is nil unless the attempt is to replace
	// a silent stream, which is given up soon after the request is sent.
	Sent func()
}

// Stream is one attempt's open connection to an engine. Its functions must not be called concurrently.
type Stream struct {
	// Next returns the next chunk, or io.EOF at the regular end of the response. A chunk that has already arrived is
	// returned even if the context has ended. Next may be called again after that; no chunk is lost.
	Next func(ctx context.Context) (Chunk, error)
	// Close ends the connection and waits for its goroutine. The engine keeps the stream running for its detach hold, the
	// time that it waits for another connection to attach.
	Close func() error
}
