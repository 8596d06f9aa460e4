package generation

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/google/uuid"
)

// cursorVersion is the first byte of the payload. A change of the layout requires another version.
const cursorVersion = 1

// fixedWidthMarker precedes the fixed-width binary form of a UUID or of an IPv4 address with port, which saves more
// than half of the size of a typical cursor. Any other string is stored as its length plus one and its bytes.
const fixedWidthMarker = 0

// Sizes of the fixed-width forms in bytes.
const (
	uuidSize         = 16
	ipv4AddrPortSize = 6
)

// appendBinary appends the payload of the cursor.
func (c Cursor) appendBinary(data []byte) []byte {
	data = append(data, cursorVersion)
	data = appendID(data, c.Generation)
	data = appendAddress(data, c.Address)
	data = appendID(data, c.Incarnation)
	data = binary.AppendUvarint(data, uint64(max(c.Attempt, 0)))
	data = binary.AppendUvarint(data, uint64(max(c.Offset, 0)))
	data = append(data, c.Digest[:]...)
	data = append(data, c.PromptDigest[:]...)
	data = appendText(data, c.Spec)
	data = appendText(data, c.Workspace)
	return binary.AppendVarint(data, c.Expiry)
}

func appendText(data []byte, text string) []byte {
	data = binary.AppendUvarint(data, uint64(len(text))+1)
	return append(data, text...)
}

func appendID(data []byte, text string) []byte {
	id, err := uuid.Parse(text)
	if err != nil || id.String() != text {
		return appendText(data, text)
	}
	return append(append(data, fixedWidthMarker), id[:]...)
}

func appendAddress(data []byte, text string) []byte {
	address, err := netip.ParseAddrPort(text)
	if err != nil || !address.Addr().Is4() || address.String() != text {
		return appendText(data, text)
	}
	ip := address.Addr().As4()
	return binary.BigEndian.AppendUint16(append(append(data, fixedWidthMarker), ip[:]...), address.Port())
}

// decodeCursor decodes a payload. Trailing bytes make it malformed.
func decodeCursor(data []byte) (Cursor, error) {
	if len(data) == 0 || data[0] != cursorVersion {
		return Cursor{}, CursorError{Kind: CursorMalformed}
	}
	r := cursorReader{data: data[1:]}
	c := Cursor{
		Generation: r.id(), Address: r.address(), Incarnation: r.id(), Attempt: r.count(), Offset: r.count(),
		Digest: r.digest(), PromptDigest: r.digest(), Spec: r.text(), Workspace: r.text(), Expiry: r.varint(),
	}
	if r.failed || len(r.data) > 0 {
		return Cursor{}, CursorError{Kind: CursorMalformed}
	}
	return c, nil
}

// cursorReader reads the fields of a payload. After the first malformed field, failed is set and all values are
// invalid.
type cursorReader struct {
	data   []byte
	failed bool
}

func (r *cursorReader) takeBytes(n uint64) []byte {
	if r.failed || n > uint64(len(r.data)) {
		r.failed = true
		return nil
	}
	part := r.data[:n]
	r.data = r.data[n:]
	return part
}

func (r *cursorReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if r.takeBytes(uint64(max(n, 0))); n <= 0 {
		r.failed = true
	}
	return v
}

func (r *cursorReader) varint() int64 {
	v, n := binary.Varint(r.data)
	if r.takeBytes(uint64(max(n, 0))); n <= 0 {
		r.failed = true
	}
	return v
}

// count reads an attempt or offset. It is limited to 31 bits so that sums cannot overflow.
func (r *cursorReader) count() int {
	v := r.uvarint()
	if v > math.MaxInt32 {
		r.failed = true
		return 0
	}
	return int(v)
}

func (r *cursorReader) digest() (d Digest) {
	copy(d[:], r.takeBytes(uint64(len(d))))
	return d
}

func (r *cursorReader) text() string {
	n := r.uvarint()
	if n == fixedWidthMarker {
		r.failed = true
		return ""
	}
	return string(r.takeBytes(n - 1))
}

func (r *cursorReader) id() string {
	if !r.takeFixedWidthMarker() {
		return r.text()
	}
	var id uuid.UUID
	copy(id[:], r.takeBytes(uuidSize))
	return id.String()
}

func (r *cursorReader) address() string {
	if !r.takeFixedWidthMarker() {
		return r.text()
	}
	data := r.takeBytes(ipv4AddrPortSize)
	if r.failed {
		return ""
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(data)), binary.BigEndian.Uint16(data[4:])).String()
}

// takeFixedWidthMarker reports whether a fixed-width form follows, and consumes its marker.
func (r *cursorReader) takeFixedWidthMarker() bool {
	if len(r.data) == 0 || r.data[0] != fixedWidthMarker {
		return false
	}
	r.takeBytes(1)
	return true
}
