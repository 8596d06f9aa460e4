// Package claim keeps idempotency records, which let a non-idempotent call run at most once.
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

// MaxRecorded bounds the header and body that a record holds. Base64 makes a third more of it, and the
// platform's values end at 1 MB.
const MaxRecorded = 256 << 10

// state is the stage of a record.
type state string

const (
	// stateOpen marks a call that may be sent at any moment or may have run.
	stateOpen state = "open"
	// stateNotRun marks a call that did not run and never will under this record's unique value.
	stateNotRun state = "not-run"
	// stateFinished marks a call whose outcome is recorded.
	stateFinished state = "finished"
)

// Recorded is the outcome of a call as a record holds it.
type Recorded struct {
	Outcome failure.Outcome
	Status  int
	Header  http.Header
	Body    []byte
}

// record is the value in the key-value service.
type record struct {
	Unique     string     `json:"unique"`
	Digest     string     `json:"digest"`
	State      state      `json:"state"`
	Outcome    string     `json:"outcome,omitempty"`
	Status     int        `json:"status,omitempty"`
	Header     wireHeader `json:"header,omitempty"`
	Body       []byte     `json:"body,omitempty"`
	BodyDigest string     `json:"body-digest,omitempty"`
	Omitted    bool       `json:"omitted,omitempty"`
}

// wireHeader is a header in a record. Values are encoded in base64, because JSON would replace bytes that are not UTF-8.
type wireHeader map[string][][]byte

func encodeHeader(header http.Header) wireHeader {
	encoded := make(wireHeader, len(header))
	for name, values := range header {
		for _, value := range values {
			encoded[name] = append(encoded[name], []byte(value))
		}
	}
	return encoded
}

func (h wireHeader) decode() http.Header {
	header := make(http.Header, len(h))
	for name, values := range h {
		for _, value := range values {
			header[name] = append(header[name], string(value))
		}
	}
	return header
}

// Digest binds a key to one call. Each part is preceded by its length, so that parts cannot be shifted.
func Digest(method, path, query string, body []byte) string {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(path), []byte(query), body} {
		_, _ = hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		_, _ = hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// recordKey escapes the names so that a slash in one cannot reach another workspace's records.
func recordKey(workspace, service, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claims/" + url.PathEscape(workspace) + "/" + url.PathEscape(service) + "/" + hex.EncodeToString(sum[:])
}

// finish returns the record with an outcome. A large response is kept by status and digest only.
func (r record) finish(outcome Recorded) record {
	size := len(outcome.Body)
	for name, values := range outcome.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	sum := sha256.Sum256(outcome.Body)
	r.State = stateFinished
	r.Outcome = outcome.Outcome.String()
	r.Status = outcome.Status
	r.BodyDigest = hex.EncodeToString(sum[:])
	r.Omitted = size > MaxRecorded
	if !r.Omitted {
		r.Header, r.Body = encodeHeader(outcome.Header), outcome.Body
	}
	return r
}

func (r record) release() record {
	r.State = stateNotRun
	return r
}

// replay returns the recorded outcome of a finished or released record.
func (r record) replay() (Recorded, error) {
	switch {
	case r.State == stateNotRun:
		return Recorded{}, errors.Trace(ReleasedError{})
	case r.State != stateFinished || r.Outcome != failure.Ran.String():
		return Recorded{}, errors.Trace(OutcomeUnknownError{})
	case r.Omitted:
		return Recorded{}, errors.Trace(OmittedError{Status: r.Status, BodyDigest: r.BodyDigest})
	default:
		return Recorded{Outcome: failure.Ran, Status: r.Status, Header: r.Header.decode(), Body: r.Body}, nil
	}
}

func (r record) encode() ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Trace(err)
}

func decode(key string, data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil {
		return record{}, errors.Trace(MalformedRecordError{Key: key, Cause: err})
	}
	return r, nil
}
