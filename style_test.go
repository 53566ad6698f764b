package jacinthtiller_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// styleFaults returns the breaks of the house rules that the linter has no rule for.
func styleFaults(files *token.FileSet, f *ast.File) []string {
	var faults []string
	report := func(n ast.Node, rule string) {
		faults = append(faults, fmt.Sprintf("%s: %s", files.Position(n.Pos()), rule))
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch x := n.(type) {
		case *ast.GoStmt:
			report(x, "bare go statement")
		case *ast.FuncType:
			if x.TypeParams != nil {
				report(x, "type parameters")
			}
		case *ast.TypeSpec:
			if x.TypeParams != nil {
				report(x, "type parameters")
			}
		case *ast.StructType:
			for _, field := range x.Fields.List {
				if s, ok := field.Type.(*ast.SelectorExpr); ok && s.Sel.Name == "Duration" {
					report(field, "duration in a struct field")
				}
			}
		}
		return true
	})
	return faults
}

// TestStyle guards against breaks of the house rules: bare go statements,
// generics of our own and durations stored in struct fields.
func TestStyle(t *testing.T) {
	cases := map[string]struct {
		source string
		faults int
	}{
		"bare go":     {"package p\nfunc f() { go f() }", 1},
		"generics":    {"package p\nfunc f[T any](t T) {}", 1},
		"duration":    {"package p\nimport \"time\"\ntype s struct { d time.Duration }", 1},
		"within rule": {"package p\nimport \"time\"\ntype s struct { d time.Time }\nfunc f(d time.Duration) {}", 0},
	}
	convey.Convey("The check finds each break", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				files := token.NewFileSet()
				f, err := parser.ParseFile(files, "p.go", c.source, 0)
				convey.So(err, convey.ShouldBeNil)
				convey.So(styleFaults(files, f), convey.ShouldHaveLength, c.faults)
			})
		}
	})
	convey.Convey("The tree has none", t, func() {
		var faults []string
		read := 0
		err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			files := token.NewFileSet()
			f, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			read++
			faults = append(faults, styleFaults(files, f)...)
			return nil
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(read, convey.ShouldBeGreaterThan, 5)
		convey.So(faults, convey.ShouldBeEmpty)
	})
}
