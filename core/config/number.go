package config

import (
	"math"
	"regexp"
	"strconv"
	"strings"
)

var (
	numberPattern = regexp.MustCompile(`^-?[0-9]+([.,][0-9]+)?$`)
	// groupedPattern matches a number whose only separator may be a thousands separator.
	groupedPattern = regexp.MustCompile(`^-?[1-9][0-9]{0,2}([.,])[0-9]{3}$`)
)

// number parses a cell with a decimal point or comma. It returns fallback if the cell is empty or invalid.
func (t *table) number(r row, column string, fallback, low, high float64) float64 {
	cell := r.cells[column]
	if cell == "" {
		return fallback
	}
	if !numberPattern.MatchString(cell) {
		t.addFault(r.number, column, cell, "not a finite decimal number without thousands separators")
		return fallback
	}
	// Sheets with commas between the cells use a decimal point, sheets with semicolons a decimal comma. The other
	// character before exactly three digits may be a thousands separator; a wrong guess would change the value by a
	// factor of 1000.
	if match := groupedPattern.FindStringSubmatch(cell); match != nil && (match[1] == ",") == (t.delimiter == ',') {
		t.addFault(r.number, column, cell, "may be a decimal or a thousands separator; write it without the separator")
		return fallback
	}
	value, err := strconv.ParseFloat(strings.Replace(cell, ",", ".", 1), 64)
	if err != nil || math.IsInf(value, 0) || value < low || value > high {
		t.addFault(r.number, column, cell, "out of range "+formatNumber(low)+" to "+formatNumber(high))
		return fallback
	}
	return value
}

// integer parses a cell like number and rejects fractions.
func (t *table) integer(r row, column string, fallback, low, high int) int {
	value := t.number(r, column, float64(fallback), float64(low), float64(high))
	if value != math.Trunc(value) {
		t.addFault(r.number, column, r.cells[column], "not a whole number")
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
		t.addFault(r.number, column, r.cells[column], "not yes or no")
		return false
	}
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
