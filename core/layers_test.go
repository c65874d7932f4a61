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

// forbidden lists imports that would let core do input or output, read a
// clock of its own or depend on the outer layers.
var forbidden = []string{"papayaspoke/io", "papayaspoke/cmd", "net", "os", "syscall", "google.golang.org/protobuf", "connectrpc.com"}

func TestCoreImportsNothingOfIO(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, im := range f.Imports {
			name := strings.Trim(im.Path.Value, `"`)
			for _, bad := range forbidden {
				assert.Check(t, name != bad && !strings.HasPrefix(name, bad+"/"), "%s imports %s", path, name)
			}
		}
		return nil
	})
	assert.NilError(t, err)
}
