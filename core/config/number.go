package config

import (
	"math"
	"regexp"
	"strconv"
	"strings"
)

var (
	numberPattern = regexp.MustCompile(`^-?[0-9]+([.,][0-9]+)?$`)
	// grouped matches a number whose separator may stand for thousands.
	groupedPattern = regexp.MustCompile(`^-?[1-9][0-9]{0,2}([.,])[0-9]{3}$`)
)

// number reads a cell with a decimal point or comma. It returns fallback where the cell is empty or faulty.
func (t *table) number(r row, column string, fallback, low, high float64) float64 {
	cell := r.cells[column]
	if cell == "" {
		return fallback
	}
	if !numberPattern.MatchString(cell) {
		t.fault(r.number, column, cell, "not a finite decimal number without thousands separators")
		return fallback
	}
	// With a comma between cells the decimal sign is a point, and with a semicolon it is a comma. The other sign
	// before exactly three digits may be a thousands separator, and guessing would be wrong by a factor of 1000.
	if group := groupedPattern.FindStringSubmatch(cell); group != nil && (group[1] == ",") == (t.comma == ',') {
		t.fault(r.number, column, cell, "may be a decimal or a thousands separator; write it without the separator")
		return fallback
	}
	value, err := strconv.ParseFloat(strings.Replace(cell, ",", ".", 1), 64)
	if err != nil || math.IsInf(value, 0) || value < low || value > high {
		t.fault(r.number, column, cell, "out of range "+format(low)+" to "+format(high))
		return fallback
	}
	return value
}

// integer reads a cell like number and refuses fractions.
func (t *table) integer(r row, column string, fallback, low, high int) int {
	value := t.number(r, column, float64(fallback), float64(low), float64(high))
	if value != math.Trunc(value) {
		t.fault(r.number, column, r.cells[column], "not a whole number")
		return fallback
	}
	return int(value)
}

func (t *table) boolean(r row, column string) bool {
	switch cell := strings.ToLower(r.cells[column]); cell {
	case "yes", "true":
		return true
	case "", "no", "false":
		return false
	default:
		t.fault(r.number, column, r.cells[column], "not yes or no")
		return false
	}
}

func format(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
