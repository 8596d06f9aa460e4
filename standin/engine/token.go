package engine

import (
	"encoding/binary"
	"fmt"
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// minFirstToken separates first ids, in [minFirstToken, 2*minFirstToken), from later ids, in [1, minFirstToken), so
// that Verify detects a missing first token even in an output of one token. A wrong id passes Verify with probability
// 2^-24.
const minFirstToken = 1 << 24

// digest is the digest of a spec (see specOf) and all ids so far, prompt and output. It determines the next id.
type digest uint64

func newDigest(spec string, ids []uint32) digest {
	d := digest(xxhash.Sum64String(spec))
	for _, id := range ids {
		d = d.add(id)
	}
	return d
}

func (d digest) add(id uint32) digest {
	return digest(mix(bits.RotateLeft64(uint64(d), 5) ^ uint64(id)))
}

func (d digest) nextToken() uint32 {
	return uint32(mix(uint64(d))%(minFirstToken-1)) + 1
}

// mix is the finalizer of splitmix64, which is a bijection with good avalanche.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// NextToken returns the id that follows all previous ids (prompt and output) under a spec. It is valid from the second
// output id on; the first one depends on the seed of the engine instead.
func NextToken(spec string, previous []uint32) uint32 {
	return newDigest(spec, previous).nextToken()
}

// firstToken derives the first output id of a generation from the engine's seed and a counter of starts.
func firstToken(seed, counter uint64) uint32 {
	return minFirstToken + uint32(mix(mix(seed)^counter)%minFirstToken)
}

// NaturalLength returns the output length at which a generation with the given first id stops by itself, between
// shortest and longest. It depends on nothing else, so that a resumed generation stops at the same length.
func NaturalLength(first uint32, shortest, longest int) int {
	return shortest + int(mix(uint64(first))%uint64(longest-shortest+1))
}

// Verify checks that output is the start of one generation of the prompt, without missing, repeated or foreign ids. It
// returns a TokenError for the first wrong id, and nil for an empty output.
func Verify(spec string, prompt, output []uint32) error {
	if len(output) == 0 {
		return nil
	}
	if output[0] < minFirstToken || output[0] >= 2*minFirstToken {
		return TokenError{Offset: 0, Got: output[0]}
	}
	d := newDigest(spec, prompt).add(output[0])
	for i, got := range output[1:] {
		want := d.nextToken()
		if got != want {
			return TokenError{Offset: i + 1, Got: got, Want: want}
		}
		d = d.add(got)
	}
	return nil
}

// TokenText returns the text of a token id.
func TokenText(id uint32) string { return fmt.Sprintf(" w%d", id) }

// BlockTokens is the number of ids in one block of the prefix cache.
const BlockTokens = 16

// BlockHash returns the hash of a block of ids, chained with the hash of the previous block, which is 0 for the first.
func BlockHash(previousHash uint64, ids []uint32) uint64 {
	buf := binary.LittleEndian.AppendUint64(make([]byte, 0, 8+4*len(ids)), previousHash)
	for _, id := range ids {
		buf = binary.LittleEndian.AppendUint32(buf, id)
	}
	return xxhash.Sum64(buf)
}
