package config

// Document is one revision of the configuration. It is immutable. The zero value has revision 0 and stands for no
// configuration.
type Document struct {
	revision uint64
	era      uint64
	fields   Fields
	digest   string
	index    *index
}

// NewDocument returns a Document of the given revision. Its digest covers the fields but not the revision.
func NewDocument(revision uint64, fields Fields) Document {
	return Document{revision: revision, fields: fields, digest: digestOf(fields), index: newIndex(&fields)}
}

// Revision returns the number that Writer gave the document, or the version in the configuration of the operators'
// platform. Revisions start at 1.
func (d Document) Revision() uint64 { return d.revision }

// InEra returns the document with the era of the key-value service in which its entry was read. It is not part of the
// digest: the same document may be read in several eras.
func (d Document) InEra(era uint64) Document {
	d.era = era
	return d
}

// Era returns the era of the key-value service in which the document was last read, or 0 if that is not known, as for a
// document that a peer sent.
func (d Document) Era() uint64 { return d.era }

// Digest returns the SHA-256 digest of the fields, in hex.
func (d Document) Digest() string { return d.digest }

// SheetNumber returns the number of the sheet from which the document was created.
func (d Document) SheetNumber() int { return d.fields.SheetNumber }

// Fields returns the fields of the document, which callers must not modify.
func (d Document) Fields() Fields { return d.fields }

// Settings returns the system-wide settings.
func (d Document) Settings() Settings { return d.fields.Settings }

// Workspaces returns all workspaces, which callers must not modify.
func (d Document) Workspaces() []Workspace { return d.fields.Workspaces }

// Models returns all models, which callers must not modify.
func (d Document) Models() []Model { return d.fields.Models }

// Model returns the model with the given name.
func (d Document) Model(name string) (Model, bool) {
	for _, m := range d.fields.Models {
		if m.Name == name {
			return m, true
		}
	}
	return Model{}, false
}

// Service returns the service with the given name.
func (d Document) Service(name string) (Service, bool) {
	for _, s := range d.fields.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}
