// Package generation produces the output stream of one request over attempts on several engines, without missing,
// repeated or mixed output.
package generation

import "strings"

// Spec identifies the exact weights that produce a generation: model, version, adapter and the adapter's version.
type Spec struct {
	model          string
	version        string
	adapter        string
	adapterVersion string
}

// NewSpec returns a Spec. Adapter and adapterVersion are empty for a model without an adapter.
func NewSpec(model, version, adapter, adapterVersion string) Spec {
	return Spec{model: model, version: version, adapter: adapter, adapterVersion: adapterVersion}
}

// ParseSpec parses a spec of the form model@version or model@version+adapter@version.
func ParseSpec(text string) (Spec, error) {
	base, extra, hasAdapter := strings.Cut(text, "+")
	model, version, ok := strings.Cut(base, "@")
	if !ok || model == "" || version == "" {
		return Spec{}, MalformedSpecError{Text: text}
	}
	if !hasAdapter {
		return NewSpec(model, version, "", ""), nil
	}
	adapter, adapterVersion, ok := strings.Cut(extra, "@")
	if !ok || adapter == "" || adapterVersion == "" {
		return Spec{}, MalformedSpecError{Text: text}
	}
	return NewSpec(model, version, adapter, adapterVersion), nil
}

// Model returns the model's name.
func (s Spec) Model() string { return s.model }

// Version returns the model's version.
func (s Spec) Version() string { return s.version }

// Adapter returns the adapter's name or an empty string.
func (s Spec) Adapter() string { return s.adapter }

// AdapterVersion returns the adapter's version or an empty string.
func (s Spec) AdapterVersion() string { return s.adapterVersion }

// IsZero reports whether s is the zero Spec, which stands for a spec that no engine has reported yet.
func (s Spec) IsZero() bool { return s == Spec{} }

// String returns the form that ParseSpec parses.
func (s Spec) String() string {
	text := s.model + "@" + s.version
	if s.adapter != "" {
		text += "+" + s.adapter + "@" + s.adapterVersion
	}
	return text
}
