package result_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"papayaspoke/core/result"
)

const pageHead = `# Results

Every refusal names one of these numbers: callers and upstreams find it in the
header ` + "`Papayaspoke-Result`" + ` and in the body (see INTERFACES.md), operators in
the output of ` + "`papayaspoke`" + `, whose exit status is the hundreds digit. Logs
write it as ` + "`P201`" + `.

"Ran" tells whether the request may have run: "no" is a promise, "unknown" means
that nobody can tell. "Retry" says whether the same request may succeed later.
A number is never given a second meaning.

This page is written from the table in core/result:
` + "`go test ./core/result -run TestPage -update`" + `.

| number | name | meaning | ran | retry | HTTP | exit | what to do |
|---|---|---|---|---|---|---|---|
`

func TestPageMatchesTable(t *testing.T) {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, i := range result.All() {
		ran, retry := "unknown", "no"
		if i.NotRun {
			ran = "no"
		}
		if i.Code == result.OK {
			ran = "yes"
		}
		if i.Retry {
			retry = "yes"
		}
		fmt.Fprintf(&b, "| %03d | %s | %s | %s | %s | %d | %d | %s |\n",
			int(i.Code), i.Name, i.Title, ran, retry, i.HTTP, result.Exit(i.Code), i.Advice)
	}
	golden.Assert(t, b.String(), "../../../docs/RESULTS.md")
}
