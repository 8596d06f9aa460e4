package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// KeyDigest returns the SHA-256 digest of an API key in hex, the form in which the sheet contains it.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// WorkspaceByKey returns the workspace whose KeyDigest is the digest of an API key. It is used by
// io/caller and does not consider KeyDigests; see WorkspaceByIndexedKey. It compares the digest with that of every
// workspace in constant time, so that its duration does not reveal partial matches.
func (d Document) WorkspaceByKey(key string) (Workspace, bool) {
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
