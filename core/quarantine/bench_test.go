package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// fullEvidence returns as many ends as a register keeps, each with parts of its own and a part of a few engines.
func fullEvidence() Evidence {
	var e Evidence
	for i := range maxEnds {
		parts := []Part{Part(i % 8)}
		for j := range 15 {
			parts = append(parts, Part(1000+16*i+j))
		}
		e.Ends = append(e.Ends, End{Endpoint: fmt.Sprint(i), Parts: parts, Age: time.Duration(i) * time.Second})
	}
	return e
}

func BenchmarkAdmit(b *testing.B) {
	r := newRegister("a", "b")
	r.Merge(fullEvidence())
	parts := []Part{8, 9, 10, 11}
	b.ReportAllocs()
	for b.Loop() {
		_ = r.Admit(parts)
	}
}

func BenchmarkRecordLived(b *testing.B) {
	r := newRegister("a", "b")
	r.Merge(fullEvidence())
	parts := []Part{9, 10, 11, 12}
	b.ReportAllocs()
	for b.Loop() {
		r.RecordLived(parts)
	}
}

// BenchmarkMerge merges known ends, BenchmarkMergeNew a new one each time.
func BenchmarkMerge(b *testing.B) {
	r, e := newRegister("a", "b"), fullEvidence()
	b.ReportAllocs()
	for b.Loop() {
		r.Merge(e)
	}
}

func BenchmarkMergeNew(b *testing.B) {
	r := newRegister("a", "b")
	r.Merge(fullEvidence())
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		r.Merge(Evidence{Ends: []End{{Endpoint: fmt.Sprint("new", i), Parts: []Part{Part(i % 8), Part(i)}}}})
	}
}
