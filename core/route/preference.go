package route

// ResumePreference holds the parameters that the sheet's resume-preference selects.
type ResumePreference struct {
	// Headroom replaces Policy.Headroom.
	Headroom float64
	// ResumeSampleSize replaces Policy.ResumeSampleSize.
	ResumeSampleSize int
}

// Parameters for each value of resume-preference.
var (
	// latencyPreference reserves a tenth of the slots for resumed generations and compares two endpoints for each.
	latencyPreference = ResumePreference{Headroom: 0.1, ResumeSampleSize: 2}
	// costPreference reserves half as many slots.
	costPreference = ResumePreference{Headroom: 0.05, ResumeSampleSize: 2}
)

// ResumePreferenceFor returns the parameters for a value of resume-preference. Any value but cost means latency.
func ResumePreferenceFor(name string) ResumePreference {
	if name == "cost" {
		return costPreference
	}
	return latencyPreference
}

// SetResumePreference applies the parameters to later picks.
func (t *Table) SetResumePreference(p ResumePreference) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.policy.Headroom, t.policy.ResumeSampleSize = p.Headroom, p.ResumeSampleSize
}

// Headroom returns the share of each endpoint's slots that only resumed generations may use.
func (t *Table) Headroom() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.policy.Headroom
}
