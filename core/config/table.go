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

// Limits of a sheet, which bound the work of parsing it. Whether the document fits into one value of the key-value
// service, which is limited to 1 MB, is checked by record.encode.
const (
	maxSheetBytes = 512 << 10
	maxSheetRows  = 5000
	maxCellBytes  = 256
)

// maxFaults limits the number of faults that are reported for a file that is not a sheet at all.
const maxFaults = 1000

// columns lists the columns that a header may have. No kind of row uses the column place, so each nonempty cell in it
// is a fault.
var columns = []string{
	"kind", "name", "of", "version", "place", "share", "priority", "requests-per-second", "tokens-per-second",
	"concurrency", "key-digest", "idempotent", "refusal", "fencing", "value",
}

// row is one row of the sheet. number is its line number, and cells holds its nonempty cells by column.
type row struct {
	number int
	cells  map[string]string
}

// table reads the rows of one sheet and collects its faults.
type table struct {
	delimiter rune
	header    []string
	rows      []row
	faults    Faults
}

// addFault adds a fault unless there are maxFaults already. Faults of a whole row are reported in the column kind.
func (t *table) addFault(number int, column, value, reason string) {
	if len(t.faults) < maxFaults {
		t.faults = append(t.faults, Fault{Row: number, Column: truncate(column), Value: truncate(value), Reason: reason})
	}
}

// read fills the table with the rows of a sheet. A fault in one cell or header does not stop it; an unreadable sheet,
// or one that is not UTF-8, not valid CSV or above a limit, does.
func (t *table) read(reader io.Reader) {
	data, err := io.ReadAll(io.LimitReader(reader, maxSheetBytes+1))
	switch {
	case err != nil:
		t.addFault(0, "", "", "the sheet cannot be read: "+err.Error())
		return
	case len(data) > maxSheetBytes:
		t.addFault(0, "", "", fmt.Sprintf("the sheet has more than %d bytes", maxSheetBytes))
		return
	}
	data = bytes.TrimPrefix(data, []byte("\xef\xbb\xbf"))
	if !t.checkEncoding(data) {
		return
	}
	// Old spreadsheet programs export CR as the line ending, but the CSV reader supports only LF and CRLF.
	if !bytes.ContainsRune(data, '\n') {
		data = bytes.ReplaceAll(data, []byte("\r"), []byte("\n"))
	}
	t.delimiter = detectDelimiter(data)
	csvReader := csv.NewReader(bytes.NewReader(data))
	csvReader.Comma = t.delimiter
	csvReader.FieldsPerRecord = -1
	for {
		record, err := csvReader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.addCSVFault(err)
			return
		}
		line, _ := csvReader.FieldPos(0)
		if len(t.rows) >= maxSheetRows {
			t.addFault(line, "kind", "", fmt.Sprintf("the sheet has more than %d rows", maxSheetRows))
			return
		}
		t.readRecord(line, record)
	}
	if t.header == nil {
		t.addFault(0, "", "", "the sheet is empty")
	}
}

func (t *table) checkEncoding(data []byte) bool {
	valid := true
	for i, line := range bytes.Split(data, []byte("\n")) {
		if !utf8.Valid(line) {
			t.addFault(i+1, "kind", "", "the row is not UTF-8; export the sheet as CSV UTF-8")
			valid = false
		}
	}
	return valid
}

func (t *table) addCSVFault(err error) {
	if parseErr, ok := errors.AsType[*csv.ParseError](err); ok {
		t.addFault(parseErr.StartLine, "kind", "", "the row is not valid CSV: "+parseErr.Err.Error())
		return
	}
	t.addFault(0, "", "", "the sheet is not valid CSV: "+err.Error())
}

// detectDelimiter returns the more frequent of semicolon and comma, counted outside quotes in the first line that has
// one.
func detectDelimiter(data []byte) rune {
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
			t.addFault(line, cell, cell, "unknown column; known are "+strings.Join(columns, ", "))
		case slices.Contains(t.header, name):
			t.addFault(line, cell, cell, "the column appears twice")
			name = ""
		}
		t.header = append(t.header, name)
	}
	for _, name := range []string{"kind", "name"} {
		if !slices.Contains(t.header, name) {
			t.addFault(line, name, "", "the column is missing")
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
			t.addFault(line, fmt.Sprintf("%d", i+1), cell, "the cell has no column header")
			continue
		case len(cell) > maxCellBytes:
			t.addFault(line, column, cell, fmt.Sprintf("the cell has more than %d bytes", maxCellBytes))
			cell = truncate(cell)
		case strings.ContainsFunc(cell, unicode.IsControl):
			t.addFault(line, column, cell, "the cell has a control character or line break")
		}
		r.cells[column] = cell
	}
	t.rows = append(t.rows, r)
}

// truncate shortens a value for a report without splitting a character.
func truncate(cell string) string {
	const maxBytes = 64
	if len(cell) <= maxBytes {
		return cell
	}
	return strings.ToValidUTF8(cell[:maxBytes], "")
}
