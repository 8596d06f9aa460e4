package settings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// maxFileBytes is the maximum size of a settings file. A typical file has ten lines.
const maxFileBytes = 64 << 10

// Load reads a settings file. Keys that it does not contain keep their defaults. If the file is invalid, the error is
// an InvalidError with all faults; a file that is unreadable or too large has that as its only fault.
func Load(path string) (Settings, error) {
	file, err := os.Open(path) //nolint:gosec // The operator names the file on the command line.
	if err != nil {
		return Settings{}, InvalidError{Path: path, Faults: []Fault{{Reason: err.Error()}}}
	}
	defer func() { _ = file.Close() }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return Settings{}, InvalidError{Path: path, Faults: []Fault{{Reason: err.Error()}}}
	}
	if len(data) > maxFileBytes {
		return Settings{}, InvalidError{Path: path, Faults: []Fault{{Reason: fmt.Sprintf("larger than %d bytes", maxFileBytes)}}}
	}
	s, faults := parse(data)
	if len(faults) > 0 {
		return Settings{}, InvalidError{Path: path, Faults: faults}
	}
	return s, nil
}

func parse(data []byte) (Settings, []Fault) {
	s := Defaults()
	var tree map[string]any
	if err := toml.Unmarshal(data, &tree); err != nil {
		return s, []Fault{syntaxFault(err)}
	}
	faults := decode(tree, reflect.ValueOf(&s).Elem(), "")
	// A key whose value cannot be decoded is reported only once, with the reason from decode.
	reported := map[string]bool{}
	for _, fault := range faults {
		reported[fault.Key] = true
	}
	for _, fault := range s.validate() {
		if !reported[fault.Key] {
			faults = append(faults, fault)
		}
	}
	return s, faults
}

func syntaxFault(err error) Fault {
	if syntax, ok := errors.AsType[*toml.DecodeError](err); ok {
		line, column := syntax.Position()
		return Fault{Reason: fmt.Sprintf("line %d, column %d: %s", line, column, syntax.Error())}
	}
	return Fault{Reason: err.Error()}
}

// decode sets the fields of target one key at a time. The TOML library stops at the first value of a wrong type, so
// decoding the whole file in one call would report only the first of several faults.
func decode(tree map[string]any, target reflect.Value, prefix string) []Fault {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		fields[target.Type().Field(i).Tag.Get("toml")] = target.Field(i)
	}
	var faults []Fault
	for _, key := range sortedKeys(tree) {
		field, known := fields[key]
		path := prefix + key
		if !known {
			faults = append(faults, Fault{Key: path, Reason: "unknown key"})
			continue
		}
		if field.Kind() == reflect.Struct && field.Type() != reflect.TypeFor[Duration]() {
			table, ok := tree[key].(map[string]any)
			if !ok {
				faults = append(faults, Fault{Key: path, Reason: "must be a table"})
				continue
			}
			faults = append(faults, decode(table, field, path+".")...)
			continue
		}
		if reason := decodeValue(tree[key], field); reason != "" {
			faults = append(faults, Fault{Key: path, Reason: reason})
		}
	}
	return faults
}

// decodeValue sets field to value and returns an empty string, or returns what is wrong with the value. It encodes the
// value again, so that the TOML library checks its type.
func decodeValue(value any, field reflect.Value) string {
	expected := "must be a string in quotes"
	switch field.Interface().(type) {
	case Duration:
		expected = `must be a duration such as "1.5s"`
	case float64:
		expected = "must be a number"
	case int:
		expected = "must be an integer"
	case []string:
		expected = "must be a list of strings"
	}
	// A duration must be a string, because a number has no unit.
	if _, isString := value.(string); !isString && field.Type() == reflect.TypeFor[Duration]() {
		return fmt.Sprintf("%s, not %v", expected, value)
	}
	var buffer bytes.Buffer
	if err := toml.NewEncoder(&buffer).Encode(map[string]any{"value": value}); err != nil {
		return expected
	}
	holder := reflect.New(reflect.StructOf([]reflect.StructField{
		{Name: "Value", Type: field.Type(), Tag: `toml:"value"`},
	}))
	if err := toml.Unmarshal(buffer.Bytes(), holder.Interface()); err != nil {
		return fmt.Sprintf("%s, not %s", expected, strings.TrimSpace(strings.TrimPrefix(buffer.String(), "value = ")))
	}
	field.Set(holder.Elem().Field(0))
	return ""
}
