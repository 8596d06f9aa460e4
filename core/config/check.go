package config

import (
	"cmp"
	"maps"
	"slices"
)

// checkAndSort validates the sheet as a whole and sorts its items, so that the digest does not depend on the order of
// the rows.
func (p *parser) checkAndSort() {
	// The key is that of checkUnique: the kind and the name, joined by a zero byte.
	if _, found := p.firstRows["setting\x00sheet-number"]; !found {
		p.addFault(0, "", "", "the setting sheet-number is missing")
	}
	if len(p.fields.Places) == 0 {
		p.addFault(0, "", "", "the sheet has no place")
	}
	if len(p.fields.Workspaces) == 0 {
		p.addFault(0, "", "", "the sheet has no workspace")
	}
	if len(p.services)+len(p.models) == 0 {
		p.addFault(0, "", "", "the sheet has neither a model nor a service")
	}
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		service := *p.services[name]
		slices.SortFunc(service.Calls, func(a, b Call) int {
			return cmp.Or(cmp.Compare(a.Path, b.Path), cmp.Compare(a.Method, b.Method))
		})
		p.fields.Services = append(p.fields.Services, service)
	}
	for _, name := range slices.Sorted(maps.Keys(p.models)) {
		model := *p.models[name]
		slices.SortFunc(model.Adapters, func(a, b Adapter) int { return cmp.Compare(a.Name, b.Name) })
		p.fields.Models = append(p.fields.Models, model)
	}
	slices.Sort(p.fields.Places)
	slices.SortFunc(p.fields.Workspaces, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
}
