package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Change is one difference between two documents. An empty Old marks an added item, an empty New a removed one.
type Change struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// String returns the change as one line of text.
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

// Diff returns the changes that turn the fields old into updated. A workspace that is renamed but keeps its key digest
// is reported as one change, because its callers stay the same. Fields that a sheet cannot set are not compared.
func Diff(old, updated Fields) []Change {
	before, after := flatten(old, renamedWorkspaces(old, updated)), flatten(updated, nil)
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

type itemID struct{ kind, name string }

// renamedWorkspaces maps the old names of renamed workspaces to the new ones. Workspaces are matched by key digest.
func renamedWorkspaces(old, updated Fields) map[string]string {
	newNames, byDigest := map[string]bool{}, map[string]string{}
	for _, w := range updated.Workspaces {
		newNames[w.Name] = true
		byDigest[w.KeyDigest] = w.Name
	}
	oldNames := map[string]bool{}
	for _, w := range old.Workspaces {
		oldNames[w.Name] = true
	}
	renamed := map[string]string{}
	for _, w := range old.Workspaces {
		if name := byDigest[w.KeyDigest]; name != "" && !newNames[w.Name] && !oldNames[name] {
			renamed[w.Name] = name
		}
	}
	return renamed
}

// flatten returns the text of each item. A workspace in renamed has the ID of its new name.
func flatten(f Fields, renamed map[string]string) map[itemID]string {
	items := map[itemID]string{
		{"setting", "sheet-number"}:            fmt.Sprint(f.SheetNumber),
		{"setting", "resume-preference"}:       f.Settings.ResumePreference,
		{"setting", "weight-loads-per-minute"}: formatNumber(f.Settings.WeightLoadsPerMinute),
		{"setting", "max-wait-ms"}:             fmt.Sprint(f.Settings.MaxWaitMS),
	}
	for _, place := range f.Places {
		items[itemID{"place", place}] = "present"
	}
	for _, s := range f.Services {
		items[itemID{"service", s.Name}] = fmt.Sprintf("refusal=%t", s.TrustsRefusals)
		for _, c := range s.Calls {
			items[itemID{"call", s.Name + " " + c.Method + " " + c.Path}] = fmt.Sprintf("idempotent=%t", c.Idempotent)
		}
	}
	for _, m := range f.Models {
		items[itemID{"model", m.Name}] = fmt.Sprintf("version=%s fencing=%t", m.Version, m.Fencing)
		for _, a := range m.Adapters {
			items[itemID{"adapter", m.Name + " " + a.Name}] = "version=" + a.Version
		}
	}
	for _, w := range f.Workspaces {
		items[itemID{"workspace", cmp.Or(renamed[w.Name], w.Name)}] = strings.Join([]string{
			"name=" + w.Name, "share=" + formatNumber(w.Share), fmt.Sprintf("priority=%d", w.Priority),
			"requests-per-second=" + formatNumber(w.RequestsPerSecond), "tokens-per-second=" + formatNumber(w.TokensPerSecond),
			fmt.Sprintf("concurrency=%d", w.Concurrency), "key-digest=" + w.KeyDigest,
		}, " ")
	}
	return items
}
