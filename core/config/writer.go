package config

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"radishhollow/core/clock"
	"radishhollow/core/kv"
)

// maxWrites limits how often one compare-and-swap is sent until its effect is known. writeRetryDelay is the delay
// before it is sent again and doubles each time.
const (
	maxWrites       = 6
	writeRetryDelay = 100 * time.Millisecond
)

// Writer replaces the document in the key-value service by compare-and-swap. Its fields must be set before use. It is
// safe for concurrent use if InForce and NewID are.
type Writer struct {
	KV kv.Store
	// InForce returns the document that is in force on this daemon. If its revision is higher than that of the stored
	// record, Apply assumes that the key-value service has lost its state: revisions continue from this document,
	// because daemons ignore lower revisions.
	InForce func() Document
	// NewID returns a unique id for a write.
	NewID func() string
}

// Applied is the result of an accepted write.
type Applied struct {
	document       Document
	alreadyInForce bool
}

// Document returns the accepted document.
func (a Applied) Document() Document { return a.document }

// AlreadyInForce reports whether the same document was already in force, so that nothing was written.
func (a Applied) AlreadyInForce() bool { return a.alreadyInForce }

// Apply writes fields as the next revision of the document. base is the revision that the caller expects to be in
// force; nil accepts any. If these fields are already in force, Apply writes nothing, even if the stored record was
// lost, and does not check base. It returns ConflictError, StaleSheetError, TooLargeError, UnsettledError, the error of
// the key-value service, or DigestError or MalformedError if the stored document is damaged. Apply then fails until the
// damaged record is replaced or deleted, which no component does.
func (w *Writer) Apply(ctx context.Context, fields Fields, base *uint64) (Applied, error) {
	current, keyRevision, err := w.read(ctx)
	if err != nil {
		return Applied{}, errors.Trace(err)
	}
	inForce := current.document()
	if local := w.InForce(); local.Revision() > inForce.Revision() {
		inForce = local
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
	writeIDs := append([]string{id}, current.WriteIDs...)
	value, err := record{
		Revision: next.Revision(), SheetNumber: next.SheetNumber(), Digest: next.Digest(), Document: fields,
		WriteIDs: writeIDs[:min(len(writeIDs), maxWriteIDs)],
	}.encode()
	if err != nil {
		return Applied{}, err
	}
	return w.write(ctx, next, id, value, keyRevision)
}

// write repeats the same compare-and-swap until it is known whether it took effect. Repeating cannot apply the write
// twice, because the first success changes the revision of the key.
func (w *Writer) write(ctx context.Context, next Document, id string, value []byte, keyRevision kv.Revision) (Applied, error) {
	mayBeWritten := false
	var lastErr error
	for attempt := range maxWrites {
		if attempt > 0 && clock.Sleep(ctx, writeRetryDelay<<(attempt-1)) != nil {
			break
		}
		_, err := w.KV.Put(ctx, Key, value, keyRevision, kv.Lease{})
		if err == nil {
			return Applied{document: next}, nil
		}
		lastErr = err
		// A kv.ConflictError may be due to an earlier write whose response was lost, so the record is read in any case.
		if unavailable, ok := errors.AsType[kv.UnavailableError](err); ok {
			mayBeWritten = mayBeWritten || unavailable.MayHaveTakenEffect
		} else if _, ok := errors.AsType[kv.ConflictError](err); !ok {
			break
		}
		current, currentKeyRevision, err := w.read(ctx)
		switch {
		case err != nil:
			lastErr = err
		case slices.Contains(current.WriteIDs, id):
			return Applied{document: next}, nil
		case currentKeyRevision != keyRevision:
			return Applied{}, conflict(next.Revision()-1, current.document(), next.Fields())
		}
	}
	if mayBeWritten {
		return Applied{}, UnsettledError{Revision: next.Revision(), Cause: lastErr}
	}
	return Applied{}, errors.Trace(lastErr)
}

// read returns the record and the revision of the key. Both are zero if the key does not exist.
func (w *Writer) read(ctx context.Context) (record, kv.Revision, error) {
	entry, err := w.KV.Get(ctx, Key)
	if _, notFound := errors.AsType[kv.NotFoundError](err); notFound {
		return record{}, kv.Revision{}, nil
	}
	if err != nil {
		return record{}, kv.Revision{}, err
	}
	r, err := decodeRecord(entry.Value())
	return r, entry.Revision(), err
}

func conflict(base uint64, inForce Document, fields Fields) ConflictError {
	return ConflictError{Base: base, Current: inForce.Revision(), Difference: Diff(inForce.Fields(), fields)}
}
