package config

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

// Bounds of the attempts to settle one write.
const (
	writeAttempts = 6
	writePause    = 100 * time.Millisecond
)

// Writer advances the document in the key-value service by compare-and-swap.
type Writer struct {
	KV kv.Store
	// InForce returns the document that this daemon holds. Revisions continue from it where the platform has lost
	// its state, because daemons ignore lower ones.
	InForce func() Document
	// NewID returns an id that no other write has.
	NewID func() string
}

// Applied is the result of an accepted write.
type Applied struct {
	document       Document
	alreadyInForce bool
}

// Document returns the accepted document.
func (a Applied) Document() Document { return a.document }

// AlreadyInForce tells that the same document was in force before, so that nothing was written.
func (a Applied) AlreadyInForce() bool { return a.alreadyInForce }

// Apply makes fields the next revision. A nil base stands for the revision that Apply reads. It returns ConflictError,
// StaleSheetError, TooLargeError, UnsettledError or the key-value service's error.
func (w *Writer) Apply(ctx context.Context, fields Fields, base *uint64) (Applied, error) {
	current, at, err := w.read(ctx)
	if err != nil {
		return Applied{}, errors.Trace(err)
	}
	inForce := current.document()
	if held := w.InForce(); held.Revision() > inForce.Revision() {
		inForce = held
	}
	next := NewDocument(inForce.Revision()+1, fields)
	if next.Digest() == inForce.Digest() {
		return Applied{document: inForce, alreadyInForce: true}, nil
	}
	if base != nil && *base != inForce.Revision() {
		return Applied{}, conflict(*base, inForce, fields)
	}
	if next.SheetNumber() <= inForce.SheetNumber() {
		return Applied{}, StaleSheetError{
			SheetNumber: next.SheetNumber(), InForce: inForce.SheetNumber(), Revision: inForce.Revision(),
		}
	}
	id := w.NewID()
	writes := append([]string{id}, current.Writes...)
	value, err := record{
		Revision: next.Revision(), SheetNumber: next.SheetNumber(), Digest: next.Digest(), Document: fields,
		Writes: writes[:min(len(writes), keptWrites)],
	}.encode()
	if err != nil {
		return Applied{}, err
	}
	return w.write(ctx, next, id, value, at)
}

// write repeats the same compare-and-swap until its effect is known. A repetition cannot apply twice, because the first
// success changes the key's revision.
func (w *Writer) write(ctx context.Context, next Document, id string, value []byte, at uint64) (Applied, error) {
	written := false
	var last error
	for attempt := range writeAttempts {
		if attempt > 0 && clock.Sleep(ctx, writePause<<(attempt-1)) != nil {
			break
		}
		_, err := w.KV.Put(ctx, Key, value, at, "")
		if err == nil {
			return Applied{document: next}, nil
		}
		last = err
		if lost, ok := errors.AsType[kv.UnavailableError](err); ok {
			written = written || lost.Written
		} else if _, ok := errors.AsType[kv.ConflictError](err); !ok {
			return Applied{}, errors.Trace(err)
		}
		current, now, err := w.read(ctx)
		switch {
		case err != nil:
			last = err
		case slices.Contains(current.Writes, id):
			return Applied{document: next}, nil
		case now != at:
			return Applied{}, conflict(next.Revision()-1, current.document(), next.Fields())
		}
	}
	if written {
		return Applied{}, UnsettledError{Revision: next.Revision(), Cause: last}
	}
	return Applied{}, errors.Trace(last)
}

// read returns the record and the key's revision, both zero where the key does not exist.
func (w *Writer) read(ctx context.Context) (record, uint64, error) {
	entry, err := w.KV.Get(ctx, Key)
	if _, missing := errors.AsType[kv.NotFoundError](err); missing {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	r, err := decodeRecord(entry.Value())
	return r, entry.Revision(), err
}

func conflict(base uint64, inForce Document, fields Fields) ConflictError {
	return ConflictError{Base: base, Current: inForce.Revision(), Difference: Diff(inForce.Fields(), fields)}
}
