package kv

// Entry is one key with its value and revision.
type Entry struct {
	key      string
	value    []byte
	revision Revision
	deleted  bool
}

// NewEntry returns an Entry. Deleted entries occur only in the result of a watch.
func NewEntry(key string, value []byte, revision Revision, deleted bool) Entry {
	return Entry{key: key, value: value, revision: revision, deleted: deleted}
}

// Key returns the full key.
func (e Entry) Key() string { return e.key }

// Value returns the stored bytes, which callers must not modify.
func (e Entry) Value() []byte { return e.value }

// Revision returns the store's revision at the last write to the key, which is not the revision of a config.Document.
func (e Entry) Revision() Revision { return e.revision }

// Deleted reports whether the key was deleted.
func (e Entry) Deleted() bool { return e.deleted }
