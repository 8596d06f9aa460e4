package kv

import (
	"cmp"
	"fmt"
)

// Revision is a position in the history of the key-value service. The service may come back from an older copy. It then
// begins a new era, in which it gives out numbers a second time, so a number means nothing without its era. The zero
// value stands for no revision, such as that of a key that does not exist.
type Revision struct{ era, number uint64 }

// NewRevision returns a Revision. Era is 0 if the service reports none.
func NewRevision(era, number uint64) Revision { return Revision{era: era, number: number} }

// Era returns the number of the era, which rises by one with each.
func (r Revision) Era() uint64 { return r.era }

// Number returns the number within the era. It is meant for messages and logs; to compare revisions, use Compare.
func (r Revision) Number() uint64 { return r.number }

// IsZero reports whether there is no revision. Numbers start above 0.
func (r Revision) IsZero() bool { return r.number == 0 }

// SameEra reports whether both revisions belong to the same history.
func (r Revision) SameEra(other Revision) bool { return r.era == other.era }

// Compare returns -1, 0 or 1 if r is older than, equal to or newer than other. Each revision of an era is newer than all
// revisions of earlier eras, because the service no longer knows those.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.era, other.era), cmp.Compare(r.number, other.number))
}

// After reports whether r is newer than other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// Next returns the lowest revision that is newer than r.
func (r Revision) Next() Revision { return Revision{era: r.era, number: r.number + 1} }

// Latest returns the newer of two revisions.
func Latest(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// String returns the number, preceded by the era if the service reports one.
func (r Revision) String() string {
	if r.era == 0 {
		return fmt.Sprint(r.number)
	}
	return fmt.Sprintf("%d/%d", r.era, r.number)
}
