package config

import "encoding/json"

// Key is the key in the key-value service under which the document is stored.
const Key = "config/current"

// maxRecordBytes is the value size limit of the key-value service.
const maxRecordBytes = 1_000_000

// maxWriteIDs is the number of write ids that a record keeps. A writer that did not receive the response to its write
// finds its id among them even if other writers have written since.
const maxWriteIDs = 16

// record is the value stored under Key.
type record struct {
	Revision    uint64   `json:"revision"`
	SheetNumber int      `json:"sheet-number"`
	Digest      string   `json:"digest"`
	Document    Fields   `json:"document"`
	WriteIDs    []string `json:"writes"`
}

// Decode returns the document that is stored in a value of Key. It returns DigestError or MalformedError if the value
// is damaged.
func Decode(value []byte) (Document, error) {
	r, err := decodeRecord(value)
	if err != nil {
		return Document{}, err
	}
	return r.document(), nil
}

// DecodeFields returns the document that a peer sent as the JSON encoding of its fields, with its revision and digest.
// It returns DigestError or MalformedError if the data is damaged.
func DecodeFields(revision uint64, digest string, fields []byte) (Document, error) {
	var f Fields
	if err := json.Unmarshal(fields, &f); err != nil {
		return Document{}, MalformedError{Cause: err}
	}
	d := NewDocument(revision, f)
	if d.digest != digest {
		return Document{}, DigestError{Revision: revision, Want: digest, Got: d.digest}
	}
	return d, nil
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, MalformedError{Cause: err}
	}
	if got := digestOf(r.Document); got != r.Digest {
		return record{}, DigestError{Revision: r.Revision, Want: r.Digest, Got: got}
	}
	return r, nil
}

func (r record) document() Document { return NewDocument(r.Revision, r.Document) }

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, MalformedError{Cause: err}
	}
	if len(data) > maxRecordBytes {
		return nil, TooLargeError{Size: len(data), Limit: maxRecordBytes}
	}
	return data, nil
}
