package bench

import (
	"encoding/csv"
	"slices"
	"strings"

	"github.com/juju/errors"

	"radishhollow/examples"
)

// ExampleSheet returns the example sheet of a deployment, or an empty text.
func ExampleSheet(name string) string {
	switch name {
	case "association":
		return examples.Association
	case "kjaergaard":
		return examples.Kjaergaard
	}
	return ""
}

// EditSheet passes each row of a sheet to edit, by column name, and returns the changed sheet.
func EditSheet(sheet string, edit func(row map[string]string)) (string, error) {
	sheet = strings.TrimPrefix(sheet, "\ufeff")
	header, _, _ := strings.Cut(sheet, "\n")
	comma := ','
	if strings.Contains(header, ";") {
		comma = ';'
	}
	reader := csv.NewReader(strings.NewReader(sheet))
	reader.Comma = comma
	rows, err := reader.ReadAll()
	if err != nil {
		return "", errors.Trace(err)
	}
	columns := slices.Clone(rows[0])
	for _, cells := range rows[1:] {
		row := make(map[string]string, len(columns))
		for i, name := range columns {
			row[name] = cells[i]
		}
		edit(row)
		for i, name := range columns {
			cells[i] = row[name]
		}
	}
	var out strings.Builder
	writer := csv.NewWriter(&out)
	writer.Comma = comma
	if err := writer.WriteAll(rows); err != nil {
		return "", errors.Trace(err)
	}
	return out.String(), nil
}

// unlimited removes a workspace's limits, so that only the engines' slots bound the load.
func unlimited(row map[string]string) {
	if row["kind"] == "workspace" {
		row["requests-per-second"], row["tokens-per-second"], row["concurrency"] = "", "", ""
	}
}

func prefer(row map[string]string, preference string) {
	if preference != "" && row["name"] == "resume-preference" {
		row["value"] = preference
	}
}

// exampleKey returns the API key of a workspace of the example sheets.
func exampleKey(workspace string) string { return "example-key-" + workspace }
