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

// styleViolations returns the violations of the project's style rules for which the linter has no check.
func styleViolations(files *token.FileSet, f *ast.File) []string {
	var violations []string
	report := func(n ast.Node, rule string) {
		violations = append(violations, fmt.Sprintf("%s: %s", files.Position(n.Pos()), rule))
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
	return violations
}

// TestStyle guards against violations of the project's style rules: bare go statements,
// type parameters and durations stored in struct fields.
func TestStyle(t *testing.T) {
	cases := map[string]struct {
		source     string
		violations int
	}{
		"bare go":     {"package p\nfunc f() { go f() }", 1},
		"generics":    {"package p\nfunc f[T any](t T) {}", 1},
		"duration":    {"package p\nimport \"time\"\ntype s struct { d time.Duration }", 1},
		"within rule": {"package p\nimport \"time\"\ntype s struct { d time.Time }\nfunc f(d time.Duration) {}", 0},
	}
	convey.Convey("The check finds each violation", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				files := token.NewFileSet()
				f, err := parser.ParseFile(files, "p.go", c.source, 0)
				convey.So(err, convey.ShouldBeNil)
				convey.So(styleViolations(files, f), convey.ShouldHaveLength, c.violations)
			})
		}
	})
	convey.Convey("The source tree has none", t, func() {
		var violations []string
		parsed := 0
		err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			files := token.NewFileSet()
			f, err := parser.ParseFile(files, path, nil, 0)
			if err != nil {
				return err
			}
			parsed++
			violations = append(violations, styleViolations(files, f)...)
			return nil
		})
		convey.So(err, convey.ShouldBeNil)
		convey.So(parsed, convey.ShouldBeGreaterThan, 5)
		convey.So(violations, convey.ShouldBeEmpty)
	})
}
