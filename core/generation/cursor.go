package generation

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"time"

	"radishhollow/core/failure"
)

// Cursor describes how far a caller has received a generation, and where its stream runs.
type Cursor struct {
	Generation   string
	Address      string
	Incarnation  string
	Attempt      int
	Offset       int
	Digest       Digest
	PromptDigest Digest
	Spec         string
	Workspace    string
	// Expiry is in Unix seconds. It only limits replay.
	Expiry int64
}

// CursorKind tells why a cursor was refused.
type CursorKind string

// Kinds of CursorError.
const (
	CursorMalformed   CursorKind = "malformed"
	CursorForged      CursorKind = "forged"
	CursorExpired     CursorKind = "expired"
	CursorForeign     CursorKind = "foreign-workspace"
	CursorOtherPrompt CursorKind = "other-prompt"
)

// CursorError reports a cursor that was refused before any engine was asked.
type CursorError struct{ Kind CursorKind }

// Error implements error.
func (e CursorError) Error() string { return fmt.Sprintf("cursor refused: %s", e.Kind) }

// Code implements failure.Failure.
func (e CursorError) Code() string { return "cursor-" + string(e.Kind) }

// Outcome implements failure.Failure.
func (e CursorError) Outcome() failure.Outcome { return failure.NotRun }

const (
	// maxCursorSize bounds the work spent on a cursor that may be forged; a real one is far shorter.
	maxCursorSize = 4096
	// macSize truncates the HMAC to 128 bits, which RFC 2104 allows for SHA-256 and no caller can guess.
	macSize     = sha256.Size / 2
	usualCursor = 192
)

// CursorCodec signs and checks cursors. The first key signs; all keys are accepted, so that keys can be rotated.
type CursorCodec struct {
	Keys [][]byte
}

// Encode returns the signed text form of the cursor. It is empty when there is no key.
func (c CursorCodec) Encode(cursor Cursor) string {
	if len(c.Keys) == 0 {
		return ""
	}
	// The usual cursor fits without another allocation.
	data := cursor.appendBinary(make([]byte, macSize, usualCursor))
	copy(data, sign(c.Keys[0], data[macSize:]))
	return base64.RawURLEncoding.EncodeToString(data)
}

// Decode checks the text's signature and expiry and that it belongs to the workspace and the prompt.
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

// Open does the checks of Decode that need no prompt. The ids of a text prompt are known only after a call to an
// engine, which a refused cursor must not cause.
func (c CursorCodec) Open(text, workspace string, now time.Time) (Cursor, error) {
	if len(text) > maxCursorSize {
		return Cursor{}, CursorError{Kind: CursorMalformed}
	}
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(data) <= macSize {
		return Cursor{}, CursorError{Kind: CursorMalformed}
	}
	mac, payload := data[:macSize], data[macSize:]
	if !c.signed(mac, payload) {
		return Cursor{}, CursorError{Kind: CursorForged}
	}
	cursor, err := readCursor(payload)
	if err != nil {
		return Cursor{}, err
	}
	switch {
	case now.Unix() > cursor.Expiry:
		return Cursor{}, CursorError{Kind: CursorExpired}
	case cursor.Workspace != workspace:
		return Cursor{}, CursorError{Kind: CursorForeign}
	}
	return cursor, nil
}

// CheckPrompt refuses a cursor of another prompt.
func (c Cursor) CheckPrompt(prompt Digest) error {
	if c.PromptDigest != prompt {
		return CursorError{Kind: CursorOtherPrompt}
	}
	return nil
}

func (c CursorCodec) signed(mac, payload []byte) bool {
	valid := false
	for _, key := range c.Keys {
		if hmac.Equal(mac, sign(key, payload)) {
			valid = true
		}
	}
	return valid
}

func sign(key, payload []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(payload)
	return h.Sum(nil)[:macSize]
}
