package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// KeyDigest returns the digest of an API key as the sheet holds it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Match returns the workspace of an API key. It compares with every workspace, so that its duration does not tell
// which digest came close.
func (d Document) Match(key string) (Workspace, bool) {
	digest := []byte(KeyDigest(key))
	found := -1
	for i := range d.fields.Workspaces {
		if subtle.ConstantTimeCompare(digest, []byte(d.fields.Workspaces[i].KeyDigest)) == 1 {
			found = i
		}
	}
	if found < 0 {
		return Workspace{}, false
	}
	return d.fields.Workspaces[found], true
}
