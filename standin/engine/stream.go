package engine

import "time"

// stream is one generation on this engine. The server's mutex guards it.
type stream struct {
	generation string
	attempt    int
	model      string
	adapter    string
	spec       string
	prompt     []uint32
	// startOffset is the offset of the first id in output.
	startOffset      int
	maxTokens int
	priority  int
	output    []uint32
	// specs holds the spec of each output id, because a model may be replaced during the output.
	specs  []string
	digest  digest
	finishReason string

	prefillLeft int
	hashedTokens      int
	lastBlockHash        uint64

	connections int
	cancelled   bool
	detachTimer      *time.Timer
	// changed is closed and replaced at each change that connections wait for.
	changed chan struct{}
}

// notifyConnections wakes all connections.
func (st *stream) notifyConnections() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// firstOutputID returns the generation's first output id.
func (st *stream) firstOutputID() (uint32, bool) {
	if st.startOffset > 0 {
		return st.prompt[len(st.prompt)-st.startOffset], true
	}
	if len(st.output) > 0 {
		return st.output[0], true
	}
	return 0, false
}

// idAt returns the id at an index over prompt and output.
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

// replaceSpec continues the stream with other weights, as an engine does that swaps a model in place.
func (st *stream) replaceSpec(spec string) {
	st.spec = spec
	st.digest = newDigest(spec, st.prompt)
	for _, id := range st.output {
		st.digest = st.digest.add(id)
	}
}

// storeBlocks puts the complete blocks that are not yet cached into the cache.
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
