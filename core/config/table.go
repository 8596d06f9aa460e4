package config

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
	"golang.org/x/text/unicode/norm"
)

// Limits of a sheet. The document must fit into one value of 1 MB of the key-value service.
const (
	maxSheetBytes = 512 << 10
	maxSheetRows  = 5000
	maxCellBytes  = 256
)

// maxFaults bounds the report on a file that is not a sheet at all.
const maxFaults = 1000

var columns = []string{
	"kind", "name", "of", "version", "place", "share", "priority", "requests-per-second", "tokens-per-second",
	"concurrency", "key-digest", "idempotent", "refusal", "fencing", "value",
}

// row is one record of the sheet with its cells by column.
type row struct {
	number int
	cells  map[string]string
}

// table reads records and collects the faults of one sheet.
type table struct {
	comma  rune
	header []string
	rows   []row
	faults Faults
}

func (t *table) fault(number int, column, value, reason string) {
	if len(t.faults) < maxFaults {
		t.faults = append(t.faults, Fault{Row: number, Column: clip(column), Value: clip(value), Reason: reason})
	}
}

// read fills the table; it stops early only where no further row can be read.
func (t *table) read(reader io.Reader) {
	data, err := io.ReadAll(io.LimitReader(reader, maxSheetBytes+1))
	switch {
	case err != nil:
		t.fault(0, "", "", "the sheet cannot be read: "+err.Error())
		return
	case len(data) > maxSheetBytes:
		t.fault(0, "", "", fmt.Sprintf("the sheet has more than %d bytes", maxSheetBytes))
		return
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	if !t.checkEncoding(data) {
		return
	}
	// A lone carriage return ends a line in exports of old spreadsheets; the CSV reader knows only LF and CRLF.
	if !bytes.ContainsRune(data, '\n') {
		data = bytes.ReplaceAll(data, []byte("\r"), []byte("\n"))
	}
	t.comma = separator(data)
	source := csv.NewReader(bytes.NewReader(data))
	source.Comma = t.comma
	source.FieldsPerRecord = -1
	for {
		record, err := source.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.malformed(err)
			return
		}
		line, _ := source.FieldPos(0)
		if len(t.rows) >= maxSheetRows {
			t.fault(line, "kind", "", fmt.Sprintf("the sheet has more than %d rows", maxSheetRows))
			return
		}
		t.readRecord(line, record)
	}
	if t.header == nil {
		t.fault(0, "", "", "the sheet is empty")
	}
}

func (t *table) checkEncoding(data []byte) bool {
	valid := true
	for i, line := range bytes.Split(data, []byte("\n")) {
		if !utf8.Valid(line) {
			t.fault(i+1, "kind", "", "the row is not UTF-8; export the sheet as CSV UTF-8")
			valid = false
		}
	}
	return valid
}

func (t *table) malformed(err error) {
	if parse, ok := errors.AsType[*csv.ParseError](err); ok {
		t.fault(parse.StartLine, "kind", "", "the row is not valid CSV: "+parse.Err.Error())
		return
	}
	t.fault(0, "", "", "the sheet is not valid CSV: "+err.Error())
}

// separator counts candidates outside quotes in the first line that has one.
func separator(data []byte) rune {
	for line := range bytes.Lines(data) {
		semicolons, commas, quoted := 0, 0, false
		for _, b := range line {
			switch {
			case b == '"':
				quoted = !quoted
			case quoted:
			case b == ';':
				semicolons++
			case b == ',':
				commas++
			}
		}
		if semicolons+commas > 0 {
			if semicolons > commas {
				return ';'
			}
			return ','
		}
	}
	return ','
}

func (t *table) readRecord(line int, record []string) {
	blank := true
	for i, cell := range record {
		record[i] = norm.NFC.String(strings.TrimFunc(cell, unicode.IsSpace))
		blank = blank && record[i] == ""
	}
	switch {
	case blank:
	case t.header == nil:
		t.readHeader(line, record)
	default:
		t.readRow(line, record)
	}
}

func (t *table) readHeader(line int, record []string) {
	t.header = []string{}
	for _, cell := range record {
		name := strings.ToLower(cell)
		switch {
		case name == "":
		case !slices.Contains(columns, name):
			t.fault(line, cell, cell, "unknown column; known are "+strings.Join(columns, ", "))
		case slices.Contains(t.header, name):
			t.fault(line, cell, cell, "the column appears twice")
			name = ""
		}
		t.header = append(t.header, name)
	}
	for _, name := range []string{"kind", "name"} {
		if !slices.Contains(t.header, name) {
			t.fault(line, name, "", "the column is missing")
		}
	}
}

func (t *table) readRow(line int, record []string) {
	r := row{number: line, cells: map[string]string{}}
	for i, cell := range record {
		column := ""
		if i < len(t.header) {
			column = t.header[i]
		}
		switch {
		case cell == "":
			continue
		case column == "":
			t.fault(line, fmt.Sprintf("%d", i+1), cell, "the cell has no column header")
			continue
		case len(cell) > maxCellBytes:
			t.fault(line, column, cell, fmt.Sprintf("the cell has more than %d bytes", maxCellBytes))
			cell = clip(cell)
		case strings.ContainsFunc(cell, unicode.IsControl):
			t.fault(line, column, cell, "the cell has a control character or line break")
		}
		r.cells[column] = cell
	}
	t.rows = append(t.rows, r)
}

// clip shortens a value for a report without cutting a character.
func clip(cell string) string {
	const limit = 64
	if len(cell) <= limit {
		return cell
	}
	return strings.ToValidUTF8(cell[:limit], "")
}
