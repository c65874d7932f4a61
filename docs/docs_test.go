package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"papayaspoke/core/set"
	"papayaspoke/io/terminal"
)

var (
	testDeclared = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	testNamed    = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)\\w+)`")
	modelNamed   = regexp.MustCompile("`(spec/\\w+\\.pml)` ([A-Z_, ]+)")
)

// read returns the contents of a file; name is relative to the module's root.
func read(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("..", name))
	assert.NilError(t, err)
	return string(b)
}

// declaredTests returns the names of all tests of the module.
func declaredTests(t *testing.T) set.Set[string] {
	t.Helper()
	var names set.Set[string]
	err := filepath.WalkDir("..", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		b, err := os.ReadFile(path)
		for _, m := range testDeclared.FindAllSubmatch(b, -1) {
			names.Add(string(m[1]))
		}
		return err
	})
	assert.NilError(t, err)
	return names
}

func TestNamedTestsExist(t *testing.T) {
	declared := declaredTests(t)
	named := testNamed.FindAllStringSubmatch(read(t, "docs/PROOF.md"), -1)
	assert.Assert(t, len(named) > 0)
	for _, m := range named {
		assert.Check(t, declared.Has(m[1]), "docs/PROOF.md names %s, which no file declares", m[1])
	}
}

// TestNamedGuardsAreChecked checks that each pair of model and guard on the
// page is one that spec/run checks.
func TestNamedGuardsAreChecked(t *testing.T) {
	run := read(t, "spec/run")
	named := modelNamed.FindAllStringSubmatch(read(t, "docs/PROOF.md"), -1)
	assert.Assert(t, len(named) > 0)
	for _, m := range named {
		for _, guard := range strings.FieldsFunc(m[2], func(r rune) bool { return r == ',' || r == ' ' }) {
			pair := filepath.Base(m[1]) + " " + guard + "\n"
			assert.Check(t, strings.Contains(run, pair), "docs/PROOF.md names %q, which spec/run does not check", pair)
		}
	}
}

func TestEveryCommandIsDescribed(t *testing.T) {
	page := read(t, "docs/OPERATIONS.md")
	for _, c := range terminal.Commands() {
		assert.Check(t, strings.Contains(page, "| `papayaspoke "+c+"`"), "docs/OPERATIONS.md does not describe papayaspoke %s", c)
	}
}
