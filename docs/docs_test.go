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

// Declarations of tests in code, and references to tests and to the guards of
// models on the pages.
var (
	testDeclaration = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)\w+)\(`)
	testReference   = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)\\w+)`")
	guardReference  = regexp.MustCompile("`(spec/\\w+\\.pml)` ([A-Z_, ]+)")
)

// readFile returns the contents of a file. Its name is relative to the root of
// the module.
func readFile(t *testing.T, name string) string {
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
		for _, m := range testDeclaration.FindAllSubmatch(b, -1) {
			names.Add(string(m[1]))
		}
		return err
	})
	assert.NilError(t, err)
	return names
}

// TestNamedTestsExist checks that every test that docs/PROOF.md names exists. A
// renamed or deleted test would otherwise leave the page wrong.
func TestNamedTestsExist(t *testing.T) {
	declared := declaredTests(t)
	references := testReference.FindAllStringSubmatch(readFile(t, "docs/PROOF.md"), -1)
	assert.Assert(t, len(references) > 0)
	for _, m := range references {
		assert.Check(t, declared.Has(m[1]), "docs/PROOF.md names %s, which no file declares", m[1])
	}
}

// TestNamedGuardsAreChecked checks that spec/run checks each pair of a model and
// a guard that docs/PROOF.md names.
func TestNamedGuardsAreChecked(t *testing.T) {
	run := readFile(t, "spec/run")
	references := guardReference.FindAllStringSubmatch(readFile(t, "docs/PROOF.md"), -1)
	assert.Assert(t, len(references) > 0)
	for _, m := range references {
		for _, guard := range strings.FieldsFunc(m[2], func(r rune) bool { return r == ',' || r == ' ' }) {
			pair := filepath.Base(m[1]) + " " + guard + "\n"
			assert.Check(t, strings.Contains(run, pair), "docs/PROOF.md names %q, which spec/run does not check", pair)
		}
	}
}

// TestEveryCommandIsDescribed checks that docs/OPERATIONS.md describes every
// command of the operators' client.
func TestEveryCommandIsDescribed(t *testing.T) {
	page := readFile(t, "docs/OPERATIONS.md")
	for _, c := range terminal.Commands() {
		assert.Check(t, strings.Contains(page, "| `papayaspoke "+c+"`"), "docs/OPERATIONS.md does not describe papayaspoke %s", c)
	}
}
