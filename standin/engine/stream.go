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
	// base is the offset of the first id in output.
	base      int
	maxTokens int
	priority  int
	output    []uint32
	// specs holds the spec of each output id, because a model may be replaced during the output.
	specs  []string
	state  state
	finish string

	prefillLeft int
	hashed      int
	hash        uint64

	connections int
	cancelled   bool
	expiry      *time.Timer
	// changed is closed and replaced at each change that connections wait for.
	changed chan struct{}
}

// notify wakes all connections.
func (st *stream) notify() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// first returns the generation's first output id.
func (st *stream) first() (uint32, bool) {
	if st.base > 0 {
		return st.prompt[len(st.prompt)-st.base], true
	}
	if len(st.output) > 0 {
		return st.output[0], true
	}
	return 0, false
}

// id returns the id at an index over prompt and output.
func (st *stream) id(i int) uint32 {
	if i < len(st.prompt) {
		return st.prompt[i]
	}
	return st.output[i-len(st.prompt)]
}

func (st *stream) emit(id uint32) {
	st.output = append(st.output, id)
	st.specs = append(st.specs, st.spec)
	st.state = st.state.add(id)
}

// replaceSpec continues the stream with other weights, as an engine does that swaps a model in place.
func (st *stream) replaceSpec(spec string) {
	st.spec = spec
	st.state = newState(spec, st.prompt)
	for _, id := range st.output {
		st.state = st.state.add(id)
	}
}

// storeBlocks puts the complete blocks that are not yet cached into the cache.
func (st *stream) storeBlocks(c *cache) {
	for st.hashed+BlockTokens <= len(st.prompt)+len(st.output) {
		ids := make([]uint32, BlockTokens)
		for i := range ids {
			ids[i] = st.id(st.hashed + i)
		}
		st.hash = BlockHash(st.hash, ids)
		st.hashed += BlockTokens
		c.store(st.hash)
	}
}
