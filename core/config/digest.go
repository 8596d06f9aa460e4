package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// digestOf returns the SHA-256 digest, in hex, of the JSON encoding of the fields. The order of the JSON fields is
// fixed by the types.
func digestOf(fields Fields) string {
	data, err := json.Marshal(fields)
	if err != nil {
		// Unreachable: Fields hold only strings, numbers and booleans, and Parse rejects NaN.
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
