package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// digestOf returns the SHA-256 digest of the fields' JSON form, whose field order is fixed by the types.
func digestOf(fields Fields) string {
	data, err := json.Marshal(fields)
	if err != nil {
		// Fields hold only strings, numbers and booleans; NaN is refused by Parse.
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
