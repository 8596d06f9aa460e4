package throttle

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is one start of an endpoint. A limit ends with the start that named it.
type Endpoint struct {
	Address     string
	Incarnation string
	StartedAtMS int64
}

// hash returns the value from which the ranks of the members for the endpoint are derived.
func (e Endpoint) hash() uint64 {
	key := append([]byte(e.Address), 0)
	key = append(key, e.Incarnation...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(append(key, 0), uint64(e.StartedAtMS)))
}
