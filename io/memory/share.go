package memory

// Share is what one message has reserved of a Budget. Its zero value has reserved nothing. It is not safe for concurrent use.
type Share struct {
	budget *Budget
	free   int64
	held   int64
}

// NewShare returns a Share whose first free bytes are not reserved, so that small messages do not fail because of large
// ones.
func NewShare(budget *Budget, free int64) Share { return Share{budget: budget, free: free} }

// Grow reserves what a message of this size needs beyond what it has reserved, or reports false if the budget is used up.
func (s *Share) Grow(size int64) bool {
	more := size - s.free - s.held
	if more <= 0 {
		return true
	}
	if !s.budget.reserve(more) {
		return false
	}
	s.held += more
	return true
}

// Release returns what is reserved to the budget. Further calls have no effect.
func (s *Share) Release() {
	s.budget.release(s.held)
	s.held = 0
}
