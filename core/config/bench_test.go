package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"radishhollow/core/config"
)

// plannedSheet returns a sheet of the planned size: 760 workspaces, 27 places and 7 models.
func plannedSheet(number int) string {
	var b strings.Builder
	b.WriteString("kind,name,of,version,place,share,priority,requests-per-second,tokens-per-second,concurrency," +
		"key-digest,idempotent,refusal,fencing,value\n")
	fmt.Fprintf(&b, "setting,sheet-number,,,,,,,,,,,,,%d\n", number)
	for i := range 27 {
		fmt.Fprintf(&b, "place,place-%d,,,,,,,,,,,,,\n", i)
	}
	for i := range 7 {
		fmt.Fprintf(&b, "model,model-%d,,1,,,,,,,,,,yes,\n", i)
	}
	for i := range 760 {
		fmt.Fprintf(&b, "workspace,workspace-%d,,,,2,10,20,12000,80,%s,,,,\n", i, config.KeyDigest(fmt.Sprint(i)))
	}
	return b.String()
}

func plannedFields(b *testing.B, number int) config.Fields {
	fields, faults := config.Parse(strings.NewReader(plannedSheet(number)))
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	return fields
}

func BenchmarkParse(b *testing.B) {
	text := plannedSheet(1)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		if _, faults := config.Parse(strings.NewReader(text)); len(faults) > 0 {
			b.Fatal(faults)
		}
	}
}

// BenchmarkDecodeFields measures accepting a document from a peer: decoding, digest and offer.
func BenchmarkDecodeFields(b *testing.B) {
	document := config.NewDocument(1, plannedFields(b, 1))
	data, err := json.Marshal(document.Fields())
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	b.ReportAllocs()
	for b.Loop() {
		decoded, err := config.DecodeFields(1, document.Digest(), data)
		if err != nil {
			b.Fatal(err)
		}
		var store config.Store
		if _, err := store.Offer(decoded); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNewDocument measures computing the digest.
func BenchmarkNewDocument(b *testing.B) {
	fields := plannedFields(b, 1)
	b.ReportAllocs()
	for b.Loop() {
		config.NewDocument(1, fields)
	}
}

func BenchmarkOffer(b *testing.B) {
	document := config.NewDocument(1, plannedFields(b, 1))
	var store config.Store
	for b.Loop() {
		if _, err := store.Offer(document); err != nil {
			b.Fatal(err)
		}
	}
}
