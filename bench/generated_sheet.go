package bench

import (
	"fmt"
	"strings"

	"radishhollow/core/config"
)

// GenerateSheet returns a sheet with the given sheet number and numbers of places, models and workspaces, and one
// service. Workspace i has the API key WorkspaceKey(i). The limits of requests per second depend on the sheet number,
// so that successive sheets differ in their workspaces too.
func GenerateSheet(number, places, models, workspaces int) string {
	var b strings.Builder
	b.WriteString("kind,name,of,version,place,share,priority,requests-per-second,tokens-per-second,concurrency," +
		"key-digest,idempotent,refusal,fencing,value\n")
	fmt.Fprintf(&b, "setting,sheet-number,,,,,,,,,,,,,%d\n", number)
	for i := range places {
		fmt.Fprintf(&b, "place,%s,,,,,,,,,,,,,\n", placeName(i))
	}
	b.WriteString("service,booking,,,,,,,,,,,yes,,\ncall,GET /read/*,booking,,,,,,,,,yes,,,\n")
	for i := range models {
		fmt.Fprintf(&b, "model,%s,,1,,,,,,,,,,yes,\n", modelName(i))
	}
	for i := range workspaces {
		fmt.Fprintf(&b, "workspace,workspace-%d,,,,%d,10,%d,%d,%d,%s,,,,\n", i, 1+i%5, 1000+number%100, 1_000_000, 10_000,
			config.KeyDigest(WorkspaceKey(i)))
	}
	return b.String()
}

// WorkspaceKey returns the API key of a generated workspace.
func WorkspaceKey(i int) string { return fmt.Sprintf("bench-workspace-key-%d", i) }

func placeName(i int) string { return fmt.Sprintf("place-%d", i) }
func modelName(i int) string { return fmt.Sprintf("model-%d", i) }
