// Package examples holds the example sheets, which the demo and the benches use.
package examples

import _ "embed" // The sheets are part of the binary, so that the demo needs no files.

// Association is the sheet of four places in Guanacaste that weighs cost.
//
//go:embed association.csv
var Association string

// Kjaergaard is the sheet of four places in dk-east that weighs latency.
//
//go:embed kjaergaard.csv
var Kjaergaard string
