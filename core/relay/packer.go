package relay

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"radishhollow/core/kv"
	"radishhollow/core/pack"
)

// maxPacked is the number of packed values that a reader keeps. Most of its followers are at one of the last revisions.
const maxPacked = 4

// packer packs the large values in the answers of a reader. Followers at the same revision get the same data, so that a
// change costs the reader's processor once. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	packed []PackedEntry
}

// pack replaces the large entries of a response by packed ones. A follower that states a revision has the values as they
// were then.
func (p *packer) pack(replica *Replica, request Request, response Response) Response {
	var plain []kv.Entry
	for _, entry := range response.Entries {
		if len(entry.Value()) < pack.MinBytes {
			plain = append(plain, entry)
			continue
		}
		var base kv.Entry
		if !request.Full {
			base, _ = replica.entryAt(entry.Key(), request.After)
		}
		if packed, ok := p.get(entry, base); ok {
			response.Packed = append(response.Packed, packed)
		} else {
			plain = append(plain, entry)
		}
	}
	response.Entries = plain
	return response
}

func (p *packer) get(entry, base kv.Entry) (PackedEntry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, known := range p.packed {
		if known.Key == entry.Key() && known.Revision == entry.Revision() && known.Base == base.Revision() {
			return known, true
		}
	}
	data, err := pack.Encode(entry.Value(), base.Value())
	if err != nil {
		// The value is too large to be packed, and is sent as it is.
		return PackedEntry{}, false
	}
	packed := PackedEntry{
		Key: entry.Key(), Revision: entry.Revision(), Data: data, Size: len(entry.Value()), Digest: xxhash.Sum64(entry.Value()),
	}
	if len(base.Value()) > 0 {
		packed.Base, packed.BaseDigest = base.Revision(), xxhash.Sum64(base.Value())
	}
	p.packed = append(p.packed, packed)
	if len(p.packed) > maxPacked {
		p.packed = p.packed[1:]
	}
	return packed, true
}

// unpack replaces the packed entries of a response by whole ones. It fails with PackError where the follower's value is not
// the one that the data is based on, or the result is not the sender's value.
func unpack(replica *Replica, response Response) (Response, error) {
	for _, packed := range response.Packed {
		var base []byte
		if !packed.Base.IsZero() {
			own, _ := replica.entry(packed.Key)
			base = own.Value()
			if own.Revision() != packed.Base || xxhash.Sum64(base) != packed.BaseDigest {
				return Response{}, errors.Trace(PackError{Key: packed.Key, Base: packed.Base, Own: own.Revision()})
			}
		}
		value, err := pack.Decode(packed.Data, base, packed.Size)
		if err != nil {
			return Response{}, errors.Trace(err)
		}
		if xxhash.Sum64(value) != packed.Digest {
			return Response{}, errors.Trace(PackError{Key: packed.Key, Base: packed.Base, Own: packed.Base})
		}
		response.Entries = append(response.Entries, kv.NewEntry(packed.Key, value, packed.Revision, false))
	}
	response.Packed = nil
	return response, nil
}
