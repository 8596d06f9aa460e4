// Package version keeps each stream at the version of the endpoints' software that began it, also where its caller takes it
// up again at another daemon or after all daemons have failed.
package version

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"radishhollow/core/kv"
)

// History is what the key-value service holds of the versions of one service.
type History struct {
	Service string `json:"service"`
	// Base is the version of all streams without a record.
	Base string `json:"base"`
	// Others holds the versions whose streams have records.
	Others []string `json:"others,omitempty"`
	// Era is the era in which the history was confirmed. Records that were written before a later era may be missing.
	Era uint64 `json:"era,omitempty"`
}

// Report is a history with the revision at which it was read.
type Report struct {
	History

	Revision kv.Revision
}

const (
	historyPrefix = "versions/"
	streamPrefix  = "streams/"
)

// with returns a copy of the history that names a version.
func (h History) with(version string) History {
	if version != h.Base && !slices.Contains(h.Others, version) {
		h.Others = append(slices.Clone(h.Others), version)
	}
	return h
}

func historyKey(service string) string { return historyPrefix + digest(service) }

// Stream names a stream by the request that brought its first event. A caller chooses the ID, so it counts only together
// with the caller's workspace.
type Stream struct{ Service, Workspace, ID string }

func (s Stream) key() string { return streamPrefix + digest(s.Service, s.Workspace, s.ID) }

// digest returns a key of fixed length for texts of any length.
func digest(texts ...string) string {
	encoded, _ := json.Marshal(texts) // Strings can always be encoded.
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:16])
}

// record is the value of a stream's key.
type record struct {
	Version string `json:"version"`
}

func decodeHistory(entry kv.Entry, service string) (Report, error) {
	var history History
	if err := json.Unmarshal(entry.Value(), &history); err != nil {
		return Report{}, errors.Trace(MalformedError{Key: entry.Key(), Cause: err})
	}
	if history.Service != service {
		return Report{}, errors.Trace(MalformedError{Key: entry.Key()})
	}
	return Report{History: history, Revision: entry.Revision()}, nil
}

func decodeRecord(entry kv.Entry) (string, error) {
	var r record
	if err := json.Unmarshal(entry.Value(), &r); err != nil {
		return "", errors.Trace(MalformedError{Key: entry.Key(), Cause: err})
	}
	return r.Version, nil
}
