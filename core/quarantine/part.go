// Package quarantine finds parts of prompts that crash engines, and decides which requests are not sent because of them.
package quarantine

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Part is the hash of a part's id.
type Part uint64

// PartOf returns the Part of an id.
func PartOf(id string) Part { return Part(xxhash.Sum64String(id)) }

// sortedParts returns the distinct parts in ascending order.
func sortedParts(parts []Part) []Part {
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	return slices.Compact(sorted)
}

// containsAll reports whether parts contains every one of wanted.
func containsAll(parts, wanted []Part) bool {
	for _, p := range wanted {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}
