package route

// Preference holds the parameters that the sheet's resume-preference selects.
type Preference struct {
	// Headroom replaces Policy.Headroom.
	Headroom float64
	// ResumeCandidates replaces Policy.ResumeCandidates.
	ResumeCandidates int
}

// Preferences by the sheet's value.
var (
	// latencyPreference keeps a tenth of the slots for resumes, which take the best of two.
	latencyPreference = Preference{Headroom: 0.1, ResumeCandidates: 2}
	// costPreference holds half of that idle.
	costPreference = Preference{Headroom: 0.05, ResumeCandidates: 2}
)

// ResumePreferenceFor returns the parameters of a resume-preference. Any value but cost counts as latency.
func ResumePreferenceFor(name string) Preference {
	if name == "cost" {
		return costPreference
	}
	return latencyPreference
}

// SetResumePreference puts the parameters in force for later choices.
func (t *Table) SetResumePreference(p Preference) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.Headroom, t.policy.ResumeCandidates = p.Headroom, p.ResumeCandidates
}

// Headroom returns the share of each endpoint's slots that only resumed generations may use.
func (t *Table) Headroom() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.policy.Headroom
}
