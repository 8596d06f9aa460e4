package engine

import (
	"encoding/binary"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Later ids lie in [1, firstBase) and first ids in [firstBase, 2*firstBase), so that Verify also detects a missing
// first token in an answer of one token. A wrong id passes Verify with a chance of one in 2^24.
const firstBase = 1 << 24

// state is the digest of a spec and all ids so far.
type state uint64

func newState(spec string, ids []uint32) state {
	s := state(xxhash.Sum64String(spec))
	for _, id := range ids {
		s = s.add(id)
	}
	return s
}

func (s state) add(id uint32) state {
	return state(mix(bits.RotateLeft64(uint64(s), 5) ^ uint64(id)))
}

func (s state) next() uint32 {
	return uint32(mix(uint64(s))%(firstBase-1)) + 1
}

// mix is the finalizer of splitmix64, which is a bijection with good avalanche.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Next returns the id that follows all previous ids (prompt and output) under a spec. It holds from the second output
// id on; the first is drawn at random.
func Next(spec string, previous []uint32) uint32 {
	return newState(spec, previous).next()
}

// firstToken draws the first output id of a start from the run's seed and a counter.
func firstToken(seed, counter uint64) uint32 {
	return firstBase + uint32(mix(mix(seed)^counter)%firstBase)
}

// NaturalLength returns the output length at which a generation with the given first id stops by itself.
func NaturalLength(first uint32, shortest, longest int) int {
	return shortest + int(mix(uint64(first))%uint64(longest-shortest+1))
}

// Verify checks that output is one unbroken run of tokens of one generation of the prompt.
func Verify(spec string, prompt, output []uint32) error {
	if len(output) == 0 {
		return nil
	}
	if output[0] < firstBase || output[0] >= 2*firstBase {
		return TokenError{Offset: 0, Got: output[0]}
	}
	s := newState(spec, prompt).add(output[0])
	for i, got := range output[1:] {
		want := s.next()
		if got != want {
			return TokenError{Offset: i + 1, Got: got, Want: want}
		}
		s = s.add(got)
	}
	return nil
}

// TokenText returns the text of a token id.
func TokenText(id uint32) string { return fmt.Sprintf(" w%d", id) }

// BlockTokens is the number of ids in one block of the prefix cache.
const BlockTokens = 16

// BlockHash returns the hash of a block from the hash of the block before it, which is 0 for the first.
func BlockHash(previous uint64, ids []uint32) uint64 {
	buf := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+4*len(ids)), previous)
	for _, id := range ids {
		buf = binary.LittleEndian.AppendUint32(buf, id)
	}
	return xxhash.Sum64(buf)
}
