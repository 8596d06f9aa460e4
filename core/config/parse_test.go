package config

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/text/unicode/norm"
)

var digestA, digestB = KeyDigest("a"), KeyDigest("b")

// minimalSheet is the smallest sheet that has rows of every kind.
var minimalSheet = strings.Join([]string{
	"kind,name,of,version,share,tokens-per-second,key-digest,idempotent,refusal,fencing,value",
	"setting,sheet-number,,,,,,,,,7",
	"place,liberia", "service,registry,,,,,,,yes", "call,GET /registry/*,registry,,,,,yes",
	"model,briefing,,3,,,,,,yes", "adapter,tone,briefing,2",
	"workspace,kjærgård,,,1.5,2000," + digestA, "workspace,muñoz,,,,," + digestB,
}, "\n") + "\n"

func TestParseReadsEveryKind(t *testing.T) {
	fields, faults := Parse(strings.NewReader(minimalSheet))
	require.NoError(t, faults.Err())
	require.Equal(t, 7, fields.SheetNumber)
	require.Equal(t, []string{"liberia"}, fields.Places)
	require.Equal(t, []Service{{Name: "registry", TrustsRefusals: true, Calls: []Call{{"GET", "/registry/*", true}}}}, fields.Services)
	require.Equal(t, []Model{{Name: "briefing", Version: "3", Fencing: true, Adapters: []Adapter{{"tone", "2"}}}}, fields.Models)
	require.Equal(t, Workspace{Name: "kjærgård", Share: 1.5, Priority: 10, TokensPerSecond: 2000, KeyDigest: digestA},
		fields.Workspaces[0])
	require.Equal(t, Settings{"latency", 60, 3000}, fields.Settings)
}

// Guards against different documents for the same sheet when it is saved by another spreadsheet program. An unchanged
// sheet would then be rejected as stale or as a conflict.
func TestParseSpreadsheetVariantsHaveOneDigest(t *testing.T) {
	want, faults := Parse(strings.NewReader(minimalSheet))
	require.NoError(t, faults.Err())
	semicolons := strings.ReplaceAll(strings.ReplaceAll(minimalSheet, ",", ";"), "1.5", "1,5")
	lines := strings.SplitAfter(minimalSheet, "\n")
	reordered := lines[0] + strings.Join(lines[5:9], "") + strings.Join(lines[1:5], "")
	for name, sheet := range map[string]string{
		"byte order mark": "\ufeff" + minimalSheet,
		"crlf":            strings.ReplaceAll(minimalSheet, "\n", "\r\n"),
		"cr":              strings.ReplaceAll(minimalSheet, "\n", "\r"),
		"semicolons":      semicolons,
		"all at once":     "\ufeff" + strings.ReplaceAll(semicolons, "\n", " ;;;\r\n;;\r\n\r\n"),
		"quoted comma":    strings.ReplaceAll(minimalSheet, "1.5", `"1,5"`),
		"quoted cells":    strings.ReplaceAll(minimalSheet, "liberia", `"liberia "`),
		"no-break space":  strings.ReplaceAll(minimalSheet, "liberia", "\u00a0liberia\u00a0"),
		"nfd":             norm.NFD.String(minimalSheet),
		"header case":     strings.Replace(minimalSheet, "kind", "Kind", 1),
		"blank first row": "\n,,,\n" + minimalSheet,
		"digest case":     strings.Replace(minimalSheet, digestA, strings.ToUpper(digestA), 1),
		"reordered rows":  reordered,
	} {
		t.Run(name, func(t *testing.T) {
			got, faults := Parse(strings.NewReader(sheet))
			require.NoError(t, faults.Err())
			require.Equal(t, digestOf(want), digestOf(got))
		})
	}
}

func TestParseRefuses(t *testing.T) {
	long := strings.Repeat("x", maxCellBytes+1)
	for _, test := range []struct{ name, old, new, column, reason string }{
		{"unknown column", "kind,name", "kind,nick,name", "nick", "unknown column"},
		{"column twice", "kind,name,of", "kind,name,name", "name", "appears twice"},
		{"no kind column", "kind,", ",", "kind", "column is missing"},
		{"unknown kind", "place,", "plaza,", "kind", "unknown kind"},
		{"missing name", "place,liberia", "place, ,,,,,", "name", "name is missing"},
		{"bad name", "liberia", "li/beria", "name", "only letters"},
		{"duplicate name", "place,liberia", "place,liberia,\nplace,liberia", "name", "already used in row 3"},
		{"duplicate in nfd", "workspace,muñoz", "workspace," + norm.NFD.String("kjærgård"), "name", "already used"},
		{"duplicate call", "call,GET /registry/*,registry", "call,get /registry/*,registry\ncall,GET /registry/*,registry", "name", "already used"},
		{"duplicate key", digestB, digestA, "key-digest", "already used"},
		{"short key", digestB, digestB[1:], "key-digest", "64 hex"},
		{"unknown service", "*,registry", "*,registro", "of", "no service"},
		{"unknown model", "tone,briefing", "tone,brief", "of", "no model"},
		{"call without method", "GET /registry/*", "/registry/*", "name", "METHOD"},
		{"inner star", "GET /registry/*", "GET /*/registry", "name", "last segment"},
		{"nan", "1.5", "NaN", "share", "not a finite"},
		{"inf", "1.5", "+Inf", "share", "not a finite"},
		{"exponent", "1.5", "1e400", "share", "not a finite"},
		{"huge", "1.5", strings.Repeat("9", 200), "share", "out of range"},
		{"negative", "2000", "-1", "tokens-per-second", "out of range"},
		{"zero share", "1.5", "0", "share", "above 0"},
		{"thousands", "2000", `"2,000"`, "tokens-per-second", "thousands"},
		{"two separators", "2000", `"2.000,5"`, "tokens-per-second", "not a finite"},
		{"bad boolean", ",registry,,,,,yes", ",registry,,,,,maybe", "idempotent", "not yes or no"},
		{"unused column", "place,liberia", "place,liberia,,4", "version", "not used"},
		{"cell without header", "place,liberia", "place,liberia,,,,,,,,,,9", "12", "no column header"},
		{"long cell", "liberia", long, "name", "bytes"},
		{"line break", "liberia", "\"li\nberia\"", "name", "control character"},
		{"unknown setting", "sheet-number", "sheet-no", "name", "unknown setting"},
		{"fraction", ",7", ",7.5", "value", "whole number"},
		{"no number", ",,7", ",,", "value", "value is missing"},
		{"no place", "place,liberia\n", "", "", "no place"},
		{"not utf-8", "liberia", "liberia\xf8", "kind", "not UTF-8"},
		{"open quote", "liberia", `"liberia`, "kind", "not valid CSV"},
		{"empty", minimalSheet, "", "", "is empty"},
		{"size", minimalSheet, strings.Repeat(" ", maxSheetBytes+1), "", "bytes"},
		{"rows", "place,liberia", strings.Repeat("place,x\n", maxSheetRows), "kind", "rows"},
	} {
		t.Run(test.name, func(t *testing.T) {
			sheet := strings.Replace(minimalSheet, test.old, test.new, 1)
			require.NotEqual(t, minimalSheet, sheet)
			fields, faults := Parse(strings.NewReader(sheet))
			require.Error(t, faults.Err())
			require.Empty(t, fields, "a faulty sheet must not return any fields")
			found := false
			for _, fault := range faults {
				found = found || fault.Column == test.column && strings.Contains(fault.Reason, test.reason)
			}
			require.True(t, found, faults.Error())
		})
	}
}

// Guards against an incomplete report, with which operators could not correct a sheet in one pass.
func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	sheet := "kind;name;of;share;key-digest;value\nplace;a;;;;\n place;a;;;\nworkspace;w;;x;;\nadapter;t;m;;;\nsetting;max-wait-ms;;;;1\n"
	_, faults := Parse(strings.NewReader(sheet))
	var rows []int
	for _, fault := range faults {
		rows = append(rows, fault.Row)
	}
	require.Equal(t, []int{0, 0, 3, 4, 4, 5, 5, 6}, rows, faults.Error())
	require.Equal(t, Fault{Row: 4, Column: "share", Value: "x", Reason: "not a finite decimal number without thousands separators"}, faults[3])
}

// FuzzParse guards against panics, against a sheet that is accepted although it has faults, and against a document that
// changes when it is encoded and decoded.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSheet))
	for _, name := range []string{"association.csv", "kjaergaard.csv"} {
		if data, err := os.ReadFile("../../examples/" + name); err == nil {
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fields, faults := Parse(strings.NewReader(string(data)))
		if len(faults) > 0 {
			require.Empty(t, fields)
			return
		}
		document := NewDocument(1, fields)
		require.NotEmpty(t, document.Digest())
		value, err := record{Revision: 1, Digest: document.Digest(), Document: fields}.encode()
		require.NoError(t, err)
		decoded, err := Decode(value)
		require.NoError(t, err)
		require.Equal(t, document.Digest(), decoded.Digest())
	})
}
