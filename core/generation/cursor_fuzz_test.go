package generation_test

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"radishhollow/core/generation"
)

// FuzzCursor guards against a payload that causes a panic, that does not survive encoding and decoding, or that is
// accepted without a signature.
func FuzzCursor(f *testing.F) {
	key := []byte("key")
	codec := generation.CursorCodec{Keys: [][]byte{key}}
	data, err := base64.RawURLEncoding.DecodeString(codec.Encode(typicalCursor))
	require.NoError(f, err)
	f.Add(data[sha256.Size/2:])
	f.Fuzz(func(t *testing.T, payload []byte) {
		_, err := codec.Open(base64.RawURLEncoding.EncodeToString(payload), "north", time.Time{})
		require.Error(t, err, "unsigned")
		h := hmac.New(sha256.New, key)
		h.Write(payload)
		text := base64.RawURLEncoding.EncodeToString(append(h.Sum(nil)[:sha256.Size/2], payload...))
		cursor, err := codec.Open(text, "north", time.Unix(-1<<62, 0))
		if err != nil {
			return
		}
		require.GreaterOrEqual(t, min(cursor.Attempt, cursor.Offset), 0)
		reopened, err := codec.Open(codec.Encode(cursor), "north", time.Unix(-1<<62, 0))
		require.NoError(t, err)
		require.Equal(t, cursor, reopened)
	})
}

// Guards against ids and addresses without a fixed-width form that are altered by encoding and decoding, and against an
// encoded size that would double the size of a stream, in which each event carries a cursor.
func TestCursorEncodedForms(t *testing.T) {
	codec := generation.CursorCodec{Keys: [][]byte{[]byte("key")}}
	textForms := typicalCursor
	textForms.Generation, textForms.Incarnation, textForms.Address = "", "5D2F9A1C-0D53-4E0C-8F8B-7A6C1E2D3B4F", "[::1]:80"
	for _, cursor := range []generation.Cursor{typicalCursor, textForms, {Workspace: "north", Address: "127.0.0.1:080"}} {
		got, err := codec.Open(codec.Encode(cursor), "north", time.Unix(0, 0))
		require.NoError(t, err)
		require.Equal(t, cursor, got)
	}
	require.LessOrEqual(t, len(codec.Encode(typicalCursor)), 180)
}
