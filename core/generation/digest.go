package generation

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest is a truncated SHA-256 hash that identifies a sequence of token ids.
type Digest [16]byte

// Add returns the digest of the sequence extended by the id.
func (d Digest) Add(id uint32) Digest {
	var data [20]byte
	copy(data[:], d[:])
	binary.LittleEndian.PutUint32(data[16:], id)
	sum := sha256.Sum256(data[:])
	return Digest(sum[:16])
}

// DigestOf returns the rolling digest of the ids; that of an empty sequence is the zero Digest.
func DigestOf(ids []uint32) Digest {
	var d Digest
	for _, id := range ids {
		d = d.Add(id)
	}
	return d
}

// PromptDigest returns the digest of a prompt, which differs from DigestOf the same ids: it hashes all ids in one pass
// because prompts are long.
func PromptDigest(ids []uint32) Digest {
	data := make([]byte, 0, 4*len(ids))
	for _, id := range ids {
		data = binary.LittleEndian.AppendUint32(data, id)
	}
	sum := sha256.Sum256(data)
	return Digest(sum[:16])
}
