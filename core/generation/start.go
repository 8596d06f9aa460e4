package generation

import "context"

// Sampling holds the parameters of a request that shape its output.
type Sampling struct {
	MaxTokens   int
	Temperature *float64
	TopP        *float64
	Seed        *int64
	Stop        []string
}

// Start is the order for one attempt on an engine.
type Start struct {
	Generation string
	Attempt    int
	// Model is the model's name, or model:adapter.
	Model string
	// Prompt is the caller's prompt followed by the first Offset output token ids.
	Prompt   []uint32
	Offset   int
	Sampling Sampling
	// Priority orders the engine's queue; a lower number is served sooner.
	Priority int
}

// Stream is one attempt's open connection to an engine.
type Stream struct {
	// Next returns the next chunk; io.EOF after the published end mark.
	Next func(ctx context.Context) (Chunk, error)
	// Close ends the connection and waits for its goroutine. The engine keeps the stream for its detach hold.
	Close func() error
}
