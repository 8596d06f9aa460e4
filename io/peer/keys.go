package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"sync/atomic"
)

const (
	// macBytes is the size of a signature. It is half the size of the SHA-256 digest, which halves the overhead of each
	// call, and such a signature still cannot be guessed.
	macBytes = 16
	// nonceBytes is the size of the nonce of a call. The signature of a response covers it, so that a recorded response is
	// not valid for a later call. The server stores no nonces, so it does not detect a repeated request.
	nonceBytes = 9
)

// Keys holds the keys that sign messages between daemons. The first key signs and all of them are accepted, so that a
// new key can reach every daemon before any daemon signs with it. Without keys, which is also the state of a daemon
// that has not received the shared ones yet, nothing is signed and everything is accepted. Keys is safe for concurrent
// use.
type Keys struct{ list atomic.Pointer[[][]byte] }

// Set replaces the keys.
func (k *Keys) Set(keys [][]byte) { k.list.Store(&keys) }

func (k *Keys) all() [][]byte {
	if list := k.list.Load(); list != nil {
		return *list
	}
	return nil
}

// sign returns the signature of a body in the call with nonce, or an empty string if there are no keys. domain consists
// of requestPrefix or responsePrefix and the path of the call. A signature is not valid in another domain.
func (k *Keys) sign(domain, nonce string, body []byte) string {
	keys := k.all()
	if len(keys) == 0 {
		return ""
	}
	return base64.RawURLEncoding.EncodeToString(mac(keys[0], domain, nonce, body))
}

// verify reports whether signature was made with one of the keys. Without keys it returns true.
func (k *Keys) verify(signature, domain, nonce string, body []byte) bool {
	keys := k.all()
	if len(keys) == 0 {
		return true
	}
	got, err := base64.RawURLEncoding.DecodeString(signature)
	if err != nil {
		return false
	}
	for _, key := range keys {
		if hmac.Equal(got, mac(key, domain, nonce, body)) {
			return true
		}
	}
	return false
}

func mac(key []byte, domain, nonce string, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	// Neither domain nor nonce contains a zero byte, so the encoding is unambiguous.
	_, _ = h.Write([]byte(domain + "\x00" + nonce + "\x00"))
	_, _ = h.Write(body)
	return h.Sum(nil)[:macBytes]
}

func newNonce() string {
	raw := make([]byte, nonceBytes)
	// rand.Read never returns an error.
	_, _ = rand.Read(raw)
	return base64.RawURLEncoding.EncodeToString(raw)
}
