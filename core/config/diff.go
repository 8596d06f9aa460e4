package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two documents. An empty Old means added, an empty New means removed.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("add %s %s: %s", c.Kind, c.Name, c.New)
	case c.New == "":
		return fmt.Sprintf("remove %s %s: %s", c.Kind, c.Name, c.Old)
	default:
		return fmt.Sprintf("change %s %s: %s -> %s", c.Kind, c.Name, c.Old, c.New)
	}
}

// Diff returns the changes that lead from one set of fields to another. A workspace that keeps its key digest under
// another name is one change, because its callers stay the same.
func Diff(old, updated Fields) []Change {
	before, after := flatten(old, renames(old, updated)), flatten(updated, nil)
	var changes []Change
	for id, text := range before {
		if after[id] != text {
			changes = append(changes, Change{Kind: id.kind, Name: id.name, Old: text, New: after[id]})
		}
	}
	for id, text := range after {
		if _, found := before[id]; !found {
			changes = append(changes, Change{Kind: id.kind, Name: id.name, New: text})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

type identity struct{ kind, name string }

// renames maps the old names of workspaces to the new ones, matched by key digest.
func renames(old, updated Fields) map[string]string {
	kept, byDigest := map[string]bool{}, map[string]string{}
	for _, w := range updated.Workspaces {
		kept[w.Name] = true
		byDigest[w.KeyDigest] = w.Name
	}
	taken := map[string]bool{}
	for _, w := range old.Workspaces {
		taken[w.Name] = true
	}
	names := map[string]string{}
	for _, w := range old.Workspaces {
		if name := byDigest[w.KeyDigest]; name != "" && !kept[w.Name] && !taken[name] {
			names[w.Name] = name
		}
	}
	return names
}

func flatten(f Fields, renamed map[string]string) map[identity]string {
	parts := map[identity]string{
		{"setting", "sheet-number"}:            fmt.Sprint(f.SheetNumber),
		{"setting", "resume-preference"}:       f.Settings.ResumePreference,
		{"setting", "weight-loads-per-minute"}: format(f.Settings.WeightLoadsPerMinute),
		{"setting", "max-wait-ms"}:             fmt.Sprint(f.Settings.MaxWaitMS),
	}
	for _, place := range f.Places {
		parts[identity{"place", place}] = "present"
	}
	for _, s := range f.Services {
		parts[identity{"service", s.Name}] = fmt.Sprintf("refusal=%t", s.Refusal)
		for _, c := range s.Calls {
			parts[identity{"call", s.Name + " " + c.Method + " " + c.Path}] = fmt.Sprintf("idempotent=%t", c.Idempotent)
		}
	}
	for _, m := range f.Models {
		parts[identity{"model", m.Name}] = fmt.Sprintf("version=%s fencing=%t", m.Version, m.Fencing)
		for _, a := range m.Adapters {
			parts[identity{"adapter", m.Name + " " + a.Name}] = "version=" + a.Version
		}
	}
	for _, w := range f.Workspaces {
		parts[identity{"workspace", cmp.Or(renamed[w.Name], w.Name)}] = strings.Join([]string{
			"name=" + w.Name, "share=" + format(w.Share), fmt.Sprintf("priority=%d", w.Priority),
			"requests-per-second=" + format(w.RequestsPerSecond), "tokens-per-second=" + format(w.TokensPerSecond),
			fmt.Sprintf("concurrency=%d", w.Concurrency), "key-digest=" + w.KeyDigest,
		}, " ")
	}
	return parts
}
