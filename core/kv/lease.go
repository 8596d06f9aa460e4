package kv

// Lease identifies a lease of the key-value service. The service may give out an ID again in a later era, to another
// holder. The zero value stands for no lease.
type Lease struct {
	era uint64
	id  string
}

// NewLease returns a Lease that was granted in an era.
func NewLease(era uint64, id string) Lease { return Lease{era: era, id: id} }

// Era returns the era in which the lease was granted.
func (l Lease) Era() uint64 { return l.era }

// ID returns the service's ID of the lease.
func (l Lease) ID() string { return l.id }

// IsZero reports whether there is no lease.
func (l Lease) IsZero() bool { return l.id == "" }
