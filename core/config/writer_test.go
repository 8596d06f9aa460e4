package config

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"radishhollow/core/failure"
	"radishhollow/core/kv"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

func fieldsOf(number int, places ...string) Fields {
	return Fields{SheetNumber: number, Places: places}
}

var nextID atomic.Int64

func newWriter(f *fakeKV, inForce Document) *Writer {
	return &Writer{
		KV:      f.store(),
		InForce: func() Document { return inForce },
		NewID:   func() string { return fmt.Sprint("write-", nextID.Add(1)) },
	}
}

func TestApply(t *testing.T) {
	one, two, nine := uint64(1), uint64(2), uint64(9)
	for _, test := range []struct {
		name     string
		fields   Fields
		base     *uint64
		revision uint64
		already  bool
		err      error
	}{
		{"next", fieldsOf(2, "b"), &one, 2, false, nil},
		{"next without base", fieldsOf(2, "b"), nil, 2, false, nil},
		{"identical", fieldsOf(1, "a"), nil, 1, true, nil},
		{"identical on an old base", fieldsOf(1, "a"), &nine, 1, true, nil},
		{"same number", fieldsOf(1, "b"), nil, 0, false, StaleSheetError{SheetNumber: 1, InForce: 1, Revision: 1}},
		{"other base", fieldsOf(2, "a"), &two, 0, false, ConflictError{Base: 2, Current: 1,
			Difference: []Change{{"setting", "sheet-number", "1", "2"}}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWriter(&fakeKV{}, Document{})
			_, err := w.Apply(t.Context(), fieldsOf(1, "a"), nil)
			require.NoError(t, err)
			got, err := w.Apply(t.Context(), test.fields, test.base)
			require.Equal(t, test.err, errors.Cause(err))
			require.Equal(t, test.revision, got.Document().Revision())
			require.Equal(t, test.already, got.AlreadyInForce())
		})
	}
}

// Guards against revisions that every daemon ignores as old, after the key-value service has lost its state.
func TestApplyContinuesAboveTheRevisionInForce(t *testing.T) {
	w := newWriter(&fakeKV{}, NewDocument(41, fieldsOf(3, "a")))
	got, err := w.Apply(t.Context(), fieldsOf(4, "a"), nil)
	require.NoError(t, err)
	require.EqualValues(t, 42, got.Document().Revision())
	_, err = w.Apply(t.Context(), fieldsOf(3, "b"), nil)
	require.Error(t, err)
}

func TestApplyResolvesLostResponses(t *testing.T) {
	for name, fake := range map[string]*fakeKV{
		"response lost":                  {loseResponses: 1},
		"write lost":                     {dropWrites: 2},
		"write lost, then response lost": {dropWrites: 1, loseResponses: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, err := newWriter(fake, Document{}).Apply(t.Context(), fieldsOf(1, "a"), nil)
				require.NoError(t, err)
				require.EqualValues(t, 1, got.Document().Revision())
				require.EqualValues(t, 1, fake.revision.Number(), "the document must be written exactly once")
			})
		})
	}
}

// Guards against a conflict that is reported although the write took effect. The operator would then apply the sheet
// again and overwrite a later change.
func TestApplyFindsItsWriteAfterALaterOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeKV{loseResponses: 2}
		fake.afterPut = func() {
			_, err := newWriter(fake, Document{}).Apply(t.Context(), fieldsOf(2, "b"), nil)
			require.NoError(t, err)
		}
		got, err := newWriter(fake, Document{}).Apply(t.Context(), fieldsOf(1, "a"), nil)
		require.NoError(t, err)
		require.EqualValues(t, 1, got.Document().Revision())
		require.EqualValues(t, 2, fake.revision.Number())
	})
}

func TestApplyReportsAnUnsettledWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := &fakeKV{dropWrites: 100}
		_, err := newWriter(fake, Document{}).Apply(t.Context(), fieldsOf(1, "a"), nil)
		var unsettled UnsettledError
		require.ErrorAs(t, err, &unsettled)
	})
}

func TestApplyRefusesADocumentAboveTheValueLimit(t *testing.T) {
	_, err := newWriter(&fakeKV{}, Document{}).Apply(t.Context(), fieldsOf(1, strings.Repeat("a", maxRecordBytes)), nil)
	var large TooLargeError
	require.ErrorAs(t, err, &large)
}

// Guards against a race of two operators on one base in which, because responses are lost, both or none succeed, or one
// gets the wrong result.
func TestApplyRaceWithLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for round := range 50 {
			fake := &fakeKV{loseResponses: round % 3, dropWrites: round % 2}
			base := uint64(0)
			var errs [2]error
			var group sync.WaitGroup
			for i, place := range []string{"a", "b"} {
				group.Go(func() {
					_, errs[i] = newWriter(fake, Document{}).Apply(context.Background(), fieldsOf(1, place), &base)
				})
			}
			group.Wait()
			lost := 0
			for _, err := range errs {
				if _, ok := errors.AsType[ConflictError](err); ok {
					lost++
				} else {
					require.NoError(t, err)
				}
			}
			require.Equal(t, 1, lost, "round %d: %v", round, errs)
			require.EqualValues(t, 1, fake.revision.Number())
		}
	})
}

// Guards against a write that is reported as not made although it may be in the copy that the store came back from.
func TestWriteThatMayHaveTakenEffectBeforeANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var eras kv.Eras
		eras.Observe(1)
		gets := 0
		w := &Writer{
			KV: eras.Guard(kv.Store{
				Get: func(context.Context, string) (kv.Entry, error) {
					gets++
					if gets == 1 {
						value, err := record{Revision: 1, SheetNumber: 1, Digest: NewDocument(1, fieldsOf(1, "a")).Digest(), Document: fieldsOf(1, "a")}.encode()
						require.NoError(t, err)
						return kv.NewEntry(Key, value, kv.NewRevision(1, 7), false), nil
					}
					eras.Observe(2) // the header of a 503
					return kv.Entry{}, kv.UnavailableError{Call: "get", Cause: context.DeadlineExceeded}
				},
				Put: func(context.Context, string, []byte, kv.Revision, kv.Lease) (kv.Revision, error) {
					return kv.Revision{}, kv.UnavailableError{Call: "put", MayHaveTakenEffect: true, Cause: context.DeadlineExceeded}
				},
			}),
			InForce: func() Document { return Document{} }, NewID: func() string { return "id" },
		}
		_, err := w.Apply(t.Context(), fieldsOf(2, "b"), nil)
		require.Error(t, err)
		require.Equal(t, failure.Unknown, failure.Of(err).Outcome())
	})
}
