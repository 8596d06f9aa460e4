package generation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// Cursor describes how much of a generation a caller has received, and which engine runs its stream.
type Cursor struct {
	Generation  string
	Address     string
	Incarnation string
	Attempt     int
	// Offset is the number of delivered token ids, and Digest is their DigestOf.
	Offset       int
	Digest       Digest
	PromptDigest Digest
	Spec         string
	Workspace    string
	// Expiry is in Unix seconds. Its only purpose is to limit replay.
	Expiry int64
}

// CursorErrorKind is the reason for which a cursor was refused.
type CursorErrorKind string

// Kinds of CursorError.
const (
	CursorMalformed        CursorErrorKind = "malformed"
	CursorForged           CursorErrorKind = "forged"
	CursorExpired          CursorErrorKind = "expired"
	CursorForeignWorkspace CursorErrorKind = "foreign-workspace"
	CursorOtherPrompt      CursorErrorKind = "other-prompt"
)

// CursorError reports a cursor that was refused before any call to an engine.
type CursorError struct{ Kind CursorErrorKind }

func (e CursorError) Error() string { return fmt.Sprintf("cursor refused: %s", e.Kind) }

func (e CursorError) Code() string { return "cursor-" + string(e.Kind) }

func (e CursorError) Outcome() failure.Outcome { return failure.NotRun }

const (
	// maxCursorSize is the longest accepted text of a cursor in bytes. It bounds the work spent on a forged cursor; a real
	// one is far shorter.
	maxCursorSize = 4096
	// macSize is the size of the truncated HMAC in bytes. RFC 2104 allows truncation to half of the hash, and 128 bits
	// cannot be guessed.
	macSize = sha256.Size / 2
	// typicalCursorSize is the initial buffer capacity in bytes, enough to encode a typical cursor in one allocation.
	typicalCursorSize = 192
)

// CursorCodec signs and verifies cursors. The first key signs; signatures of all keys are accepted, so that keys can be
// rotated.
type CursorCodec struct {
	Keys [][]byte
}

// Encode returns the signed text form of the cursor, or an empty string if there is no key.
func (c CursorCodec) Encode(cursor Cursor) string {
	if len(c.Keys) == 0 {
		return ""
	}
	data := cursor.appendBinary(make([]byte, macSize, typicalCursorSize))
	copy(data, computeMAC(c.Keys[0], data[macSize:]))
	return base64.RawURLEncoding.EncodeToString(data)
}

// Decode returns the cursor of the text after it has verified the signature, expiry, workspace and prompt. Its errors
// are of type CursorError.
func (c CursorCodec) Decode(text, workspace string, prompt Digest, now time.Time) (Cursor, error) {
	cursor, err := c.Open(text, workspace, now)
	if err != nil {
		return Cursor{}, err
	}
	if err := cursor.CheckPrompt(prompt); err != nil {
		return Cursor{}, err
	}
	return cursor, nil
}

// Open is Decode without the check of the prompt. The token ids of a text prompt are known only after a call to an
// engine, and a cursor that is refused must not cause one.
func (c CursorCodec) Open(text, workspace string, now time.Time) (Cursor, error) {
	if len(text) > maxCursorSize {
		return Cursor{}, CursorError{Kind: CursorMalformed}
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) <= macSize {
		return Cursor{}, CursorError{Kind: CursorMalformed}
	}
	mac, payload := data[:macSize], data[macSize:]
	if !c.hasValidMAC(mac, payload) {
		return Cursor{}, CursorError{Kind: CursorForged}
	}
	cursor, err := decodeCursor(payload)
	if err != nil {
		return Cursor{}, err
	}
	switch {
	case now.Unix() > cursor.Expiry:
		return Cursor{}, CursorError{Kind: CursorExpired}
	case cursor.Workspace != workspace:
		return Cursor{}, CursorError{Kind: CursorForeignWorkspace}
	}
	return cursor, nil
}

// CheckPrompt returns an error if the cursor belongs to another prompt.
func (c Cursor) CheckPrompt(prompt Digest) error {
	if c.PromptDigest != prompt {
		return CursorError{Kind: CursorOtherPrompt}
	}
	return nil
}

func (c CursorCodec) hasValidMAC(mac, payload []byte) bool {
	valid := false
	for _, key := range c.Keys {
		if hmac.Equal(mac, computeMAC(key, payload)) {
			valid = true
		}
	}
	return valid
}

func computeMAC(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)[:macSize]
}
