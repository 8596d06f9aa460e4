package engine

import "time"

// stream is one generation on this engine, guarded by the server's mutex.
type stream struct {
	generation string
	attempt    int
	model      string
	adapter    string
	spec       string
	prompt     []uint32
	// startOffset is the offset in the generation of the first id in output; earlier output ids are at the end of
	// prompt.
	startOffset int
	maxTokens   int
	priority    int
	output      []uint32
	// specs holds the spec of each output id, because the model may be replaced while the stream runs.
	specs        []string
	digest       digest
	finishReason string

	remainingPrefillTokens int
	// hashedTokens is the number of leading ids whose blocks are stored in the cache, and lastBlockHash is the hash of the
	// last of these blocks.
	hashedTokens  int
	lastBlockHash uint64

	connections int
	cancelled   bool
	detachTimer *time.Timer
	// changed is closed and replaced at each change that connections wait for.
	changed chan struct{}
}

// notifyConnections wakes all connections of the stream.
func (st *stream) notifyConnections() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// firstOutputID returns the first output id of the generation, which an earlier attempt may have delivered.
func (st *stream) firstOutputID() (uint32, bool) {
	if st.startOffset > 0 {
		return st.prompt[len(st.prompt)-st.startOffset], true
	}
	if len(st.output) > 0 {
		return st.output[0], true
	}
	return 0, false
}

// idAt returns the id at an index into the concatenation of prompt and output.
func (st *stream) idAt(i int) uint32 {
	if i < len(st.prompt) {
		return st.prompt[i]
	}
	return st.output[i-len(st.prompt)]
}

func (st *stream) appendOutput(id uint32) {
	st.output = append(st.output, id)
	st.specs = append(st.specs, st.spec)
	st.digest = st.digest.add(id)
}

// replaceSpec continues the stream with other weights, like an engine that replaces a model in place.
func (st *stream) replaceSpec(spec string) {
	st.spec = spec
	st.digest = newDigest(spec, st.prompt)
	for _, id := range st.output {
		st.digest = st.digest.add(id)
	}
}

// storeBlocks adds to the cache the blocks that have become complete since the last call.
func (st *stream) storeBlocks(c *cache) {
	for st.hashedTokens+BlockTokens <= len(st.prompt)+len(st.output) {
		ids := make([]uint32, BlockTokens)
		for i := range ids {
			ids[i] = st.idAt(st.hashedTokens + i)
		}
		st.lastBlockHash = BlockHash(st.lastBlockHash, ids)
		st.hashedTokens += BlockTokens
		c.storeBlock(st.lastBlockHash)
	}
}
