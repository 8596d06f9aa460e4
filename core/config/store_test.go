package config

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOfferNeverReverts(t *testing.T) {
	var s Store
	first, second := NewDocument(1, fieldsOf(1, "a")), NewDocument(2, fieldsOf(2, "b"))
	for _, test := range []struct {
		name     string
		document Document
		accepted bool
		revision uint64
		err      error
	}{
		{"nothing", Document{}, false, 0, nil},
		{"second", second, true, 2, nil},
		{"older", first, false, 2, nil},
		{"same", second, false, 2, nil},
		{"fork", NewDocument(2, fieldsOf(2, "c")), false, 2, ForkError{Revision: 2, InForce: second.Digest(),
			Offered: NewDocument(2, fieldsOf(2, "c")).Digest()}},
	} {
		accepted, err := s.Offer(test.document)
		require.Equal(t, test.err, err, test.name)
		require.Equal(t, test.accepted, accepted, test.name)
		require.Equal(t, test.revision, s.Current().Revision(), test.name)
	}
}

// Guards against a lower revision that replaces a higher one when watch, poll and peers offer documents concurrently.
func TestOfferConcurrently(t *testing.T) {
	var s Store
	changed := s.Changed()
	var group sync.WaitGroup
	for i := range 100 {
		group.Go(func() {
			_, err := s.Offer(NewDocument(uint64(i+1), fieldsOf(i+1, "a")))
			require.NoError(t, err)
		})
	}
	group.Wait()
	<-changed
	require.EqualValues(t, 100, s.Current().Revision())
}

func TestDecodeFieldsChecksTheDigest(t *testing.T) {
	d := NewDocument(3, fieldsOf(3, "a"))
	_, err := DecodeFields(3, d.Digest(), []byte(`{"sheet-number":3,"places":["b"]}`))
	var digest DigestError
	require.ErrorAs(t, err, &digest)
	_, err = DecodeFields(3, d.Digest(), []byte(`{`))
	var malformed MalformedError
	require.ErrorAs(t, err, &malformed)
}

func TestDecodeChecksTheDigest(t *testing.T) {
	value, err := record{Revision: 3, Digest: "other", Document: fieldsOf(3, "a")}.encode()
	require.NoError(t, err)
	_, err = Decode(value)
	var digest DigestError
	require.ErrorAs(t, err, &digest)
	_, err = Decode([]byte("{"))
	var malformed MalformedError
	require.ErrorAs(t, err, &malformed)
}

func TestDiff(t *testing.T) {
	old := Fields{SheetNumber: 1, Places: []string{"a"}, Workspaces: []Workspace{{Name: "w", KeyDigest: "1"}, {Name: "v", KeyDigest: "2"}}}
	updated := Fields{SheetNumber: 2, Places: []string{"b"}, Workspaces: []Workspace{{Name: "x", KeyDigest: "1"}, {Name: "v", KeyDigest: "3"}}}
	var names []string
	for _, change := range Diff(old, updated) {
		names = append(names, change.Kind+" "+change.Name)
		require.Equal(t, change.Kind == "place", change.Old == "" || change.New == "", change.String())
	}
	require.Equal(t, []string{"place a", "place b", "setting sheet-number", "workspace v", "workspace x"}, names)
	require.Empty(t, Diff(old, old))
}

func TestWorkspaceByKey(t *testing.T) {
	d := NewDocument(1, Fields{Workspaces: []Workspace{{Name: "a", KeyDigest: digestA}, {Name: "b", KeyDigest: digestB}}})
	w, ok := d.WorkspaceByKey("b")
	require.True(t, ok)
	require.Equal(t, "b", w.Name)
	_, ok = d.WorkspaceByKey("c")
	require.False(t, ok)
}

// Guards against a document that stays in force for ever although the key-value service has lost it and the operator has
// given its number to another one, and against lost content that comes back.
func TestOfferAcrossEras(t *testing.T) {
	lost, rewritten := NewDocument(20, fieldsOf(1, "lost")), NewDocument(20, fieldsOf(1, "rewritten"))
	fork := ForkError{Revision: 20, InForce: rewritten.Digest(), Offered: lost.Digest()}
	for _, test := range []struct {
		name     string
		offers   []Document
		accepted bool
		place    string
		err      error
	}{
		{"same number in a later era", []Document{lost.InEra(1), rewritten.InEra(2)}, true, "rewritten", nil},
		{"same number after a peer's", []Document{lost, rewritten.InEra(2)}, true, "rewritten", nil},
		{"lost content of an earlier era", []Document{rewritten.InEra(2), lost.InEra(1)}, false, "rewritten", nil},
		{"lost content from a peer", []Document{rewritten.InEra(2), lost}, false, "rewritten", nil},
		{"same number in one era", []Document{rewritten.InEra(2), lost.InEra(2)}, false, "rewritten", fork},
		{"same number in an era that has both", []Document{rewritten.InEra(1), rewritten.InEra(2), lost.InEra(2)}, false, "rewritten", fork},
		{"older version of the copy", []Document{rewritten.InEra(1), NewDocument(19, fieldsOf(1, "copy")).InEra(2)}, false, "rewritten", nil},
		{"higher number", []Document{lost.InEra(1), NewDocument(21, fieldsOf(1, "next")).InEra(2)}, true, "next", nil},
		{"same document", []Document{lost.InEra(1), lost.InEra(2)}, false, "lost", nil},
	} {
		var s Store
		var accepted bool
		var err error
		for _, document := range test.offers {
			accepted, err = s.Offer(document)
		}
		require.Equal(t, test.err, err, test.name)
		require.Equal(t, test.accepted, accepted, test.name)
		require.Equal(t, test.place, s.Current().Fields().Places[0], test.name)
	}
}

// Guards against waiting requests and daemons that are told of a change although the document is the same.
func TestOfferOfTheSameDocumentIsNoChange(t *testing.T) {
	var s Store
	_, err := s.Offer(NewDocument(20, fieldsOf(1, "a")).InEra(1))
	require.NoError(t, err)
	changed := s.Changed()
	_, err = s.Offer(NewDocument(20, fieldsOf(1, "a")).InEra(2))
	require.NoError(t, err)
	select {
	case <-changed:
		require.Fail(t, "changed")
	default:
	}
	require.EqualValues(t, 2, s.Current().Era())
}
