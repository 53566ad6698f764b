package daemon

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

// requiredFlags are the flags that a process with the entry role needs at least.
var requiredFlags = []string{"--role", "entry", "--name", "h1", "--failure-domain", "cluj-a", "--control", "c1=http://127.0.0.1:1"}

// TestParse guards against invalid settings that start a process, and
// against messages that do not name the flag, the value and what is allowed.
func TestParse(t *testing.T) {
	cases := map[string]struct {
		args   []string
		faults []string
	}{
		"valid":              {args: nil},
		"unknown flag":       {args: []string{"--slot", "5"}, faults: []string{"slot"}},
		"malformed number":   {args: []string{"--slots", "five"}, faults: []string{`"five"`, "slots"}},
		"slots out of range": {args: []string{"--slots", "0"}, faults: []string{"--slots=0 is not between 1 and 1000"}},
		"unknown role":       {args: []string{"--role", "proxy"}, faults: []string{`--role="proxy" is not entry or control`}},
		"role twice":         {args: []string{"--role", "entry"}, faults: []string{`--role="entry" is given twice`}},
		"control without data folder": {
			args: []string{"--role", "control"}, faults: []string{"--data-dir is empty", "--control does not hold this process"},
		},
		"address by name": {args: []string{"--guest-listen", "localhost:1"}, faults: []string{`--guest-listen="localhost:1"`}},
		"level":           {args: []string{"--log-level", "loud"}, faults: []string{`--log-level="loud"`}},
		"argument":        {args: []string{"entry"}, faults: []string{`"entry" is not a flag`}},
		"limit":           {args: []string{"--limit-window-seconds", "2.5", "--limit-overage", "0.25", "--limit-slack", "7"}},
		"limit out of range": {
			args: []string{"--limit-window-seconds", "0", "--limit-overage", "NaN", "--limit-slack", "1"},
			faults: []string{
				"--limit-window-seconds=0 is not between 0.5 and 3600", "--limit-overage=NaN is not between 0.001 and 10",
				"--limit-slack=1 is not between 2 and 1e+06",
			},
		},
		"limit without time for tokens": {
			args: []string{"--limit-overage", "0.01"}, faults: []string{"--limit-overage=0.01 with window-seconds=5 leaves tokens 30ms"},
		},
		"limit over a long window": {
			args: []string{"--limit-window-seconds", "3600"}, // the default overage of 360 s is enough
		},
		"limit without room for clocks that differ": {
			args: []string{"--limit-window-seconds", "100", "--limit-overage", "0.02"}, faults: []string{"--limit-overage=0.02 with window-seconds=100 leaves no room for clocks"},
		},
		"key without certificate": {
			args: []string{"--guest-key-file", "settings_test.go"}, faults: []string{"--guest-cert-file and --guest-key-file"},
		},
		"several faults at once": {
			args: []string{"--slots", "0", "--log-format", "xml", "--peers", "x"},
			faults: []string{
				"--slots=0", `--log-format="xml" is not text or json`, `--peers: "x" is not a URL`,
			},
		},
	}
	convey.Convey("Settings are checked", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				_, err := Parse(append(append([]string{}, requiredFlags...), c.args...))
				if len(c.faults) == 0 {
					convey.So(err, convey.ShouldBeNil)
					return
				}
				var e *SettingsError
				convey.So(errors.As(err, &e), convey.ShouldBeTrue)
				for _, f := range c.faults {
					convey.So(err.Error(), convey.ShouldContainSubstring, f)
				}
			})
		}
	})
	convey.Convey("A request for help is not reported as invalid settings", t, func() {
		_, err := Parse([]string{"--help"})
		convey.So(errors.Is(err, flag.ErrHelp), convey.ShouldBeTrue)
	})
	convey.Convey("Environment variables set flags, and flags on the command line take precedence", t, func() {
		t.Setenv("JACINTH_SLOTS", "2")
		t.Setenv("JACINTH_CONNECTIONS", "12")
		s, err := Parse(append(append([]string{}, requiredFlags...), "--connections", "20"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(s.Slots, convey.ShouldEqual, 2)
		convey.So(s.Connections, convey.ShouldEqual, 20)
		convey.So(s.Printed(), convey.ShouldContainSubstring, "slots=2\n")
		convey.So(strings.Count(s.Printed(), "\n"), convey.ShouldBeGreaterThan, 20)
	})
}

var update = flag.Bool("update", false, "write docs/settings.md from the flags")

// TestReference guards against flags that docs/settings.md does not list.
func TestReference(t *testing.T) {
	const page = "../docs/settings.md"
	if *update {
		if err := os.WriteFile(page, []byte(Reference()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	convey.Convey("The page lists the flags", t, func() {
		b, err := os.ReadFile(page)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(b), convey.ShouldEqual, Reference())
	})
}

// FuzzParse guards against settings that make the parser panic.
func FuzzParse(f *testing.F) {
	f.Add("--slots=5 --role entry")
	f.Add("--control a=http://127.0.0.1:1,b=:// --role control,entry --data-dir /")
	f.Fuzz(func(t *testing.T, line string) {
		s, err := Parse(strings.Fields(line))
		if (s == nil) == (err == nil) {
			t.Fatalf("settings %v with error %v", s, err)
		}
	})
}
