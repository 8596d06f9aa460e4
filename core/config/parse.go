package config

import (
	"encoding/hex"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// Limits of the numbers in a sheet. Rates are per second or per minute, as the column or setting says.
const (
	maxShare       = 1000
	maxRate        = 1e9
	maxConcurrency = 1_000_000
	maxPriority    = 100
	maxSheetNumber = 1 << 31
	minMaxWaitMS   = 100
	maxMaxWaitMS   = 600_000
)

// Defaults for values that the sheet does not set.
const (
	defaultShare                = 1
	defaultPriority             = 10
	defaultResumePreference     = "latency"
	defaultWeightLoadsPerMinute = 60
	defaultMaxWaitMS            = 3000
)

// namePattern excludes characters with a special meaning in paths, keys and specs (/, @, +, :) and characters that JSON
// escapes.
var namePattern = regexp.MustCompile(`^[\p{L}\p{N}][\p{L}\p{N}\p{M}._-]*$`)

var methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// columnsOfKind lists the columns that rows of each kind use.
var columnsOfKind = map[string][]string{
	"place":   {"kind", "name"},
	"service": {"kind", "name", "refusal"},
	"call":    {"kind", "name", "of", "idempotent"},
	"model":   {"kind", "name", "version", "fencing"},
	"adapter": {"kind", "name", "of", "version"},
	"workspace": {
		"kind", "name", "share", "priority", "requests-per-second", "tokens-per-second", "concurrency", "key-digest",
	},
	"setting": {"kind", "name", "value"},
}

// parser converts the rows of a sheet into Fields.
type parser struct {
	table
	fields   Fields
	services map[string]*Service
	models   map[string]*Model
	// firstRows maps the key of each unique item, joined by zero bytes, to the line of the row that contains it first.
	firstRows map[string]int
}

// Parse parses a sheet and returns either its fields or all of its faults.
func Parse(reader io.Reader) (Fields, Faults) {
	p := parser{services: map[string]*Service{}, models: map[string]*Model{}, firstRows: map[string]int{}}
	p.fields.Settings = Settings{
		ResumePreference:     defaultResumePreference,
		WeightLoadsPerMinute: defaultWeightLoadsPerMinute,
		MaxWaitMS:            defaultMaxWaitMS,
	}
	p.read(reader)
	for _, r := range p.rows {
		p.readTopLevel(r)
	}
	for _, r := range p.rows {
		p.readNested(r)
	}
	if p.header != nil {
		p.checkAndSort()
	}
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int { return a.Row - b.Row })
		return Fields{}, p.faults
	}
	return p.fields, nil
}

// readTopLevel validates the kind and columns of a row and reads it if it does not refer to another row.
func (p *parser) readTopLevel(r row) {
	kind, name := r.cells["kind"], r.cells["name"]
	allowed, known := columnsOfKind[kind]
	if !known {
		p.addFault(r.number, "kind", kind,
			"unknown kind; known are "+strings.Join(slices.Sorted(maps.Keys(columnsOfKind)), ", "))
		return
	}
	for _, column := range columns {
		if cell := r.cells[column]; cell != "" && !slices.Contains(allowed, column) {
			p.addFault(r.number, column, cell, "the column is not used by kind "+kind)
		}
	}
	if kind == "call" || kind == "adapter" {
		return
	}
	if p.checkName(r, "name", name) && p.checkUnique(r, "name", name, kind, name) {
		p.addRow(r, kind, name)
	}
}

// addRow adds a row with a valid and unique name to the fields.
func (p *parser) addRow(r row, kind, name string) {
	switch kind {
	case "place":
		p.fields.Places = append(p.fields.Places, name)
	case "service":
		p.services[name] = &Service{Name: name, TrustsRefusals: p.boolean(r, "refusal")}
	case "model":
		p.checkName(r, "version", r.cells["version"])
		p.models[name] = &Model{Name: name, Version: r.cells["version"], Fencing: p.boolean(r, "fencing")}
	case "workspace":
		p.addWorkspace(r, name)
	case "setting":
		p.applySetting(r, name)
	}
}

// readNested reads a row that refers to another row, which is a call of a service or an adapter of a model. It runs
// after readTopLevel has read all rows, because the other row may come later in the sheet.
func (p *parser) readNested(r row) {
	kind, name, parent := r.cells["kind"], r.cells["name"], r.cells["of"]
	switch kind {
	case "call":
		service, known := p.services[parent]
		if !known {
			p.addFault(r.number, "of", parent, "no service of this name in the sheet")
		}
		call, ok := p.parseCall(r, name)
		if ok && known && p.checkUnique(r, "name", name, kind, parent, call.Method, call.Path) {
			service.Calls = append(service.Calls, call)
		}
	case "adapter":
		model, known := p.models[parent]
		if !known {
			p.addFault(r.number, "of", parent, "no model of this name in the sheet")
		}
		validName := p.checkName(r, "name", name)
		validVersion := p.checkName(r, "version", r.cells["version"])
		if known && validName && validVersion && p.checkUnique(r, "name", name, kind, parent, name) {
			model.Adapters = append(model.Adapters, Adapter{Name: name, Version: r.cells["version"]})
		}
	}
}

func (p *parser) parseCall(r row, name string) (Call, bool) {
	parts := strings.Fields(name)
	if len(parts) != 2 || !slices.Contains(methods, strings.ToUpper(parts[0])) || !strings.HasPrefix(parts[1], "/") {
		p.addFault(r.number, "name", name, "not of the form METHOD /path or METHOD /path/*")
		return Call{}, false
	}
	if rest := strings.TrimSuffix(parts[1], "/*"); strings.ContainsAny(rest, "*?#") {
		p.addFault(r.number, "name", name, "a path may have * only as its last segment, and no ? or #")
		return Call{}, false
	}
	return Call{Method: strings.ToUpper(parts[0]), Path: parts[1], Idempotent: p.boolean(r, "idempotent")}, true
}

func (p *parser) addWorkspace(r row, name string) {
	w := Workspace{
		Name:              name,
		Share:             p.number(r, "share", defaultShare, 0, maxShare),
		Priority:          p.integer(r, "priority", defaultPriority, 0, maxPriority),
		RequestsPerSecond: p.number(r, "requests-per-second", 0, 0, maxRate),
		TokensPerSecond:   p.number(r, "tokens-per-second", 0, 0, maxRate),
		Concurrency:       p.integer(r, "concurrency", 0, 0, maxConcurrency),
		KeyDigest:         strings.ToLower(r.cells["key-digest"]),
	}
	if w.Share == 0 {
		p.addFault(r.number, "share", r.cells["share"], "must be above 0")
	}
	if raw, err := hex.DecodeString(w.KeyDigest); err != nil || len(raw) != 32 {
		p.addFault(r.number, "key-digest", r.cells["key-digest"], "not a SHA-256 digest of 64 hex digits")
	} else {
		p.checkUnique(r, "key-digest", w.KeyDigest, "key-digest", w.KeyDigest)
	}
	p.fields.Workspaces = append(p.fields.Workspaces, w)
}

func (p *parser) applySetting(r row, name string) {
	settings, value := &p.fields.Settings, r.cells["value"]
	if value == "" {
		p.addFault(r.number, "value", "", "the value is missing")
		return
	}
	switch name {
	case "sheet-number":
		p.fields.SheetNumber = p.integer(r, "value", 0, 1, maxSheetNumber)
	case "resume-preference":
		settings.ResumePreference = strings.ToLower(value)
		if settings.ResumePreference != "latency" && settings.ResumePreference != "cost" {
			p.addFault(r.number, "value", value, "not latency or cost")
		}
	case "weight-loads-per-minute":
		settings.WeightLoadsPerMinute = p.number(r, "value", defaultWeightLoadsPerMinute, 0.01, maxRate)
	case "max-wait-ms":
		settings.MaxWaitMS = p.integer(r, "value", defaultMaxWaitMS, minMaxWaitMS, maxMaxWaitMS)
	default:
		p.addFault(r.number, "name", name,
			"unknown setting; known are sheet-number, resume-preference, weight-loads-per-minute, max-wait-ms")
	}
}

func (p *parser) checkName(r row, column, name string) bool {
	switch {
	case name == "":
		p.addFault(r.number, column, "", "the "+column+" is missing")
		return false
	case !namePattern.MatchString(name):
		p.addFault(r.number, column, name, "only letters, digits, dot, underscore and hyphen are allowed")
		return false
	default:
		return true
	}
}

// checkUnique adds a fault for column if an earlier row has an item with the same key, and reports whether none has.
func (p *parser) checkUnique(r row, column, value string, key ...string) bool {
	id := strings.Join(key, "\x00")
	if first, found := p.firstRows[id]; found {
		p.addFault(r.number, column, value, "already used in row "+formatNumber(float64(first)))
		return false
	}
	p.firstRows[id] = r.number
	return true
}
