package forward

import "context"

// KVCopier calls engines to keep a copy of one run's KV cache. An engine's answers to these calls name no run. So a KVCopier
// has connections of its own, on which a late answer to an earlier call is about the same run.
type KVCopier struct {
	// Copy copies the KV cache of the run from its engine to another one and returns the handle of the copy, which is valid
	// at the run's engine. The same call with the engine that holds the copy renews the copy.
	Copy func(ctx context.Context, address, run, to string) (handle string, err error)
	// Release frees a copy.
	Release func(ctx context.Context, address, handle string)
	// Close closes the connections.
	Close func()
}
