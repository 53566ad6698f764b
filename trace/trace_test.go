package trace

import (
	"errors"
	"path/filepath"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"golang.org/x/tools/txtar"
)

// TestCheck replays the traces under testdata. Each archive holds the traces of the processes, a file "outcome" with the
// violated rule or "none", and a comment with the failure that the archive guards against.
func TestCheck(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) < 8 {
		t.Fatalf("%d archives, error %v", len(paths), err)
	}
	convey.Convey("Traces have the expected outcomes", t, func() {
		for _, path := range paths {
			convey.Convey(filepath.Base(path), func() {
				a, err := txtar.ParseFile(path)
				convey.So(err, convey.ShouldBeNil)
				var all []Record
				outcome := ""
				for _, f := range a.Files {
					if f.Name == "outcome" {
						outcome = strings.TrimSpace(string(f.Data))
						continue
					}
					records, err := Read(f.Name, strings.NewReader(string(f.Data)))
					convey.So(err, convey.ShouldBeNil)
					all = append(all, records...)
				}
				got := "none"
				if v := Check(Merge(all)); v != nil {
					got = string(v.Rule)
				}
				convey.So(got, convey.ShouldEqual, outcome)
			})
		}
	})
}

// TestRead guards against a trace that is partly read without an error.
func TestRead(t *testing.T) {
	line := `{"time":"2026-01-02T03:04:05Z","host":"h","sequence":1,"number":100,"name":"process-started"}`
	cases := map[string]struct {
		text    string
		records int
		line    int
	}{
		"complete":              {line + "\n" + line + "\n", 2, 0},
		"last line truncated":   {line + "\n" + line[:20], 1, 0},
		"middle line truncated": {line + "\n" + line[:20] + "\n" + line + "\n", 0, 2},
		"empty":                 {"", 0, 0},
	}
	convey.Convey("Traces are read", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				records, err := Read("f", strings.NewReader(c.text))
				convey.So(records, convey.ShouldHaveLength, c.records)
				var e *LineError
				convey.So(errors.As(err, &e), convey.ShouldEqual, c.line > 0)
				if e != nil {
					convey.So(e.Line, convey.ShouldEqual, c.line)
				}
			})
		}
	})
}

// FuzzRead guards against records that make the reader or the checker panic.
func FuzzRead(f *testing.F) {
	f.Add(`{"number":5003,"fields":{"position":"1/2","outcome":"done","status":"I","session":"s"}}`)
	f.Add(`{"number":3000,"fields":{"index":-1}}`)
	f.Fuzz(func(_ *testing.T, text string) {
		if records, err := Read("f", strings.NewReader(text)); err == nil {
			Check(Merge(records))
		}
	})
}
