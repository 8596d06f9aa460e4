// Package claim manages idempotency records, which ensure that a non-idempotent call is executed at most once.
package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"radishhollow/core/failure"
)

// MaxRecordedBytes limits the size of the headers and the body that a record holds. Base64 adds a third to it, and the
// key-value service limits values to 1 MB.
const MaxRecordedBytes = 256 << 10

// state is the state of the call that a record describes.
type state string

const (
	// stateOpen marks a call that may still be sent or may have been executed.
	stateOpen state = "open"
	// stateNotRun marks a call that was not executed and will never be sent under this record's claim ID.
	stateNotRun state = "not-run"
	// stateFinished marks a call whose outcome is recorded.
	stateFinished state = "finished"
)

// Result is the outcome and the response of a call as stored in a record.
type Result struct {
	Outcome failure.Outcome
	Status  int
	Header  http.Header
	Body    []byte
}

// record is the idempotency record as stored in the key-value service. ClaimID identifies the claim that wrote the
// record, and Digest the request.
type record struct {
	ClaimID    string       `json:"unique"`
	Digest     string       `json:"digest"`
	State      state        `json:"state"`
	Outcome    string       `json:"outcome,omitempty"`
	Status     int          `json:"status,omitempty"`
	Header     storedHeader `json:"header,omitempty"`
	Body       []byte       `json:"body,omitempty"`
	BodyDigest string       `json:"body-digest,omitempty"`
	Omitted    bool         `json:"omitted,omitempty"`
}

// storedHeader holds HTTP headers in a record. Their values are encoded in base64, because a JSON string would replace
// bytes that are not UTF-8.
type storedHeader map[string][][]byte

func encodeHeader(header http.Header) storedHeader {
	encoded := make(storedHeader, len(header))
	for name, values := range header {
		for _, value := range values {
			encoded[name] = append(encoded[name], []byte(value))
		}
	}
	return encoded
}

func (h storedHeader) decode() http.Header {
	header := make(http.Header, len(h))
	for name, values := range h {
		for _, value := range values {
			header[name] = append(header[name], string(value))
		}
	}
	return header
}

// Digest returns the SHA-256 digest, in hex, that binds a key to one request. It covers no headers. Each part is
// preceded by its length, so that moving bytes from one part to another changes the digest.
func Digest(method, path, query string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), []byte(query), body} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// storageKeyOf returns the key of a record in the key-value service; key is the caller's idempotency key. The names are
// escaped, so that a slash in a name cannot address the records of another workspace.
func storageKeyOf(workspace, service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claims/" + url.PathEscape(workspace) + "/" + url.PathEscape(service) + "/" + hex.EncodeToString(sum[:])
}

// finish returns the record with the outcome. Of a response larger than MaxRecordedBytes it keeps only the status and
// the digest of the body.
func (r record) finish(result Result) record {
	size := len(result.Body)
	for name, values := range result.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	sum := sha256.Sum256(result.Body)
	r.State = stateFinished
	r.Outcome = result.Outcome.String()
	r.Status = result.Status
	r.BodyDigest = hex.EncodeToString(sum[:])
	r.Omitted = size > MaxRecordedBytes
	if !r.Omitted {
		r.Header, r.Body = encodeHeader(result.Header), result.Body
	}
	return r
}

// release returns the record of a call that was not executed and will never be sent.
func (r record) release() record {
	r.State = stateNotRun
	return r
}

// replay returns the recorded outcome, or an error if the record holds no response that can be replayed.
func (r record) replay() (Result, error) {
	switch {
	case r.State == stateNotRun:
		return Result{}, errors.Trace(ReleasedError{})
	case r.State != stateFinished || r.Outcome != failure.Ran.String():
		return Result{}, errors.Trace(OutcomeUnknownError{})
	case r.Omitted:
		return Result{}, errors.Trace(OmittedError{Status: r.Status, BodyDigest: r.BodyDigest})
	default:
		return Result{Outcome: failure.Ran, Status: r.Status, Header: r.Header.decode(), Body: r.Body}, nil
	}
}

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Trace(err)
}

func decode(storageKey string, data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, errors.Trace(MalformedRecordError{Key: storageKey, Cause: err})
	}
	return r, nil
}
