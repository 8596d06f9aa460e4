// Package examples contains the example sheets that the demo and the benchmarks use.
package examples

import _ "embed" // Embeds the sheets in the binary, so that the demo needs no files.

// Association is a sheet with four places in Guanacaste whose resume preference favours low cost.
//
//go:embed association.csv
var Association string

// Kjaergaard is a sheet with four places in dk-east whose resume preference favours low latency.
//
//go:embed kjaergaard.csv
var Kjaergaard string
