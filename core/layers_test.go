package core_test

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// forbiddenImports lists packages that would let core do input or output, read
// a clock or depend on the outer layers. Packages below a listed path are
// included.
var forbiddenImports = []string{"papayaspoke/io", "papayaspoke/cmd", "net", "os", "syscall", "google.golang.org/protobuf", "connectrpc.com"}

// TestCoreImportsNothingOfIO checks the imports of all packages below core except
// their tests.
func TestCoreImportsNothingOfIO(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range f.Imports {
			name := strings.Trim(spec.Path.Value, `"`)
			for _, forbidden := range forbiddenImports {
				assert.Check(t, name != forbidden && !strings.HasPrefix(name, forbidden+"/"), "%s imports %s", path, name)
			}
		}
		return nil
	})
	assert.NilError(t, err)
}
