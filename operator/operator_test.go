package operator

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/jacinthtiller/jacinthtiller"
	"github.com/jacinthtiller/jacinthtiller/control"
	"github.com/jacinthtiller/jacinthtiller/document"
	"github.com/jacinthtiller/jacinthtiller/quickstart"
)

var update = flag.Bool("update", false, "write docs/document.md from the fields")

// TestReference guards against fields of the document that the page does not list.
func TestReference(t *testing.T) {
	const page = "../docs/document.md"
	want := "# Fields of a section\n\nThis page is written by `go test ./operator -update`.\n\n" + document.Reference()
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	convey.Convey("The page lists the fields", t, func() {
		b, err := os.ReadFile(page)
		convey.So(err, convey.ShouldBeNil)
		convey.So(string(b), convey.ShouldEqual, want)
	})
}

// run runs a command line and returns its exit code, output and messages.
func run(args ...string) (int, string, string) {
	var out, messages bytes.Buffer
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	code := Run(ctx, args, &out, &messages)
	return code, out.String(), messages.String()
}

// TestUsage guards against command lines that fail without saying why or with the wrong exit code.
func TestUsage(t *testing.T) {
	dir := t.TempDir()
	validFile, invalidFile := filepath.Join(dir, "intake.yaml"), filepath.Join(dir, "bad.yaml")
	for path, text := range map[string]string{validFile: "databases: [d]\n", invalidFile: "weight: 1000\ncolour: red\n"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cases := map[string]struct {
		args []string
		code int
		text string
	}{
		"unknown command":       {[]string{"section", "burn"}, ExitUsage, `there is no command "burn"`},
		"no control":            {[]string{"status"}, ExitUsage, "--control is empty"},
		"missing argument":      {[]string{"section", "get"}, ExitUsage, "takes 1 arguments (TEAM), got 0"},
		"bad output":            {[]string{"version", "--output", "xml"}, ExitUsage, `--output="xml" is not table or json`},
		"version":               {[]string{"version"}, ExitOK, "jacinthtiller"},
		"valid section":         {[]string{"document", "check", validFile}, ExitOK, "section of intake is valid"},
		"invalid section":       {[]string{"document", "check", invalidFile}, ExitRefused, "colour"},
		"missing file":          {[]string{"document", "check", dir + "/none"}, ExitFailed, "no such file"},
		"bad fault":             {[]string{"bench", "run", "--faults", "burn@1", "--milliseconds", "1"}, ExitUsage, "is not name@milliseconds"},
		"compare without files": {[]string{"bench", "compare"}, ExitUsage, "at least one file"},
		"trace without files":   {[]string{"trace", "check"}, ExitUsage, "at least one file"},
		"control unreachable": {
			[]string{"status", "--control", "http://127.0.0.1:1", "--timeout-milliseconds", "300"}, ExitFailed, "status",
		},
	}
	convey.Convey("Commands return their exit codes", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				code, out, messages := run(c.args...)
				convey.So(code, convey.ShouldEqual, c.code)
				convey.So(out+messages, convey.ShouldContainSubstring, c.text)
			})
		}
	})
}

// TestOnline guards against commands that do not work on a running installation: an edit, a conflicting edit under the
// same revision, a resent edit and a planned move of the primary.
func TestOnline(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := quickstart.Start(ctx, quickstart.Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Kill()
	t.Setenv("JACINTH_CONTROL", c.Control[0].RPCURL()+","+c.Control[1].RPCURL()+","+c.Control[2].RPCURL())
	file := filepath.Join(t.TempDir(), "breeding.yaml")
	write := func(text string) { convey.So(os.WriteFile(file, []byte(text), 0o600), convey.ShouldBeNil) }

	convey.Convey("A section is edited, and its request id is refused for other content", t, func() {
		write("databases: [registru-1]\nweight: 2\n")
		code, out, messages := run("section", "apply", "--if-revision", "0", "--request-id", "r1", "--wait", "breeding", file)
		convey.So(messages, convey.ShouldContainSubstring, "request id r1")
		convey.So(code, convey.ShouldEqual, ExitOK)
		convey.So(strings.Count(out, "in force"), convey.ShouldEqual, 7)
		convey.So(out, convey.ShouldNotContainSubstring, "not yet")

		convey.Convey("A resend gets the first answer, other content under the id does not", func() {
			code, out, _ = run("section", "apply", "--if-revision", "0", "--request-id", "r1", "breeding", file)
			convey.So(code, convey.ShouldEqual, ExitOK)
			convey.So(out, convey.ShouldContainSubstring, "accepted as revision 1")
			write("weight: 3\n")
			code, out, _ = run("section", "apply", "--if-revision", "0", "--request-id", "r1", "breeding", file)
			convey.So(code, convey.ShouldEqual, ExitRefused)
			convey.So(out, convey.ShouldContainSubstring, "other content")
		})
		convey.Convey("A second edit under the same revision is a conflict", func() {
			write("weight: 4\n")
			code, out, _ = run("section", "apply", "--if-revision", "0", "--request-id", "r2", "breeding", file)
			convey.So(code, convey.ShouldEqual, ExitRefused)
			convey.So(out, convey.ShouldContainSubstring, "weight: 2")
		})
		convey.Convey("The section is read, compared and listed", func() {
			_, out, _ = run("section", "get", "breeding")
			convey.So(out, convey.ShouldContainSubstring, "weight: 2")
			write("databases: [registru-1]\nweight: 9\n")
			_, out, _ = run("section", "diff", "breeding", file)
			convey.So(out, convey.ShouldContainSubstring, "-weight: 2")
			convey.So(out, convey.ShouldContainSubstring, "+weight: 9")
			_, out, _ = run("section", "history", "breeding")
			convey.So(out, convey.ShouldContainSubstring, "REVISION")
		})
	})
	convey.Convey("The status lists hosts and targets", t, func() {
		code, out, _ := run("status", "--output", "json")
		convey.So(code, convey.ShouldEqual, ExitOK)
		var s control.StatusResponse
		convey.So(json.Unmarshal([]byte(out), &s), convey.ShouldBeNil)
		convey.So(s.Hosts, convey.ShouldHaveLength, 7)
		convey.So(s.Databases[0].Targets, convey.ShouldHaveLength, 3)
		code, out, _ = run("dump", c.Hosts[0].RPCURL())
		convey.So(code, convey.ShouldEqual, ExitOK)
		convey.So(json.Valid([]byte(out)), convey.ShouldBeTrue)
	})
	convey.Convey("The primary is moved", t, func() {
		code, out, messages := run("primary", "move", "registru-1", "registru-1-iasi-a")
		convey.So(messages, convey.ShouldBeEmpty)
		convey.So(code, convey.ShouldEqual, ExitOK)
		convey.So(out, convey.ShouldContainSubstring, "primary of registru-1 is registru-1-iasi-a in term 2")
	})
}

// TestStatusOfAccounts guards against a table that shows a limit of 0 as none, and against one for configurations without
// accounts.
func TestStatusOfAccounts(t *testing.T) {
	convey.Convey("The status lists accounts with their limits", t, func() {
		var b strings.Builder
		r := control.StatusResponse{}
		writeStatus(&b, r)
		convey.So(b.String(), convey.ShouldNotContainSubstring, "ACCOUNT")
		r.Accounts = []control.AccountStatus{
			{Name: "mill", Priority: 1, Keys: 2, Limit: &jacinthtiller.RateLimit{PerSecond: 12.5, Burst: 3}},
			{Name: "none", Limit: &jacinthtiller.RateLimit{}},
			{Name: "shop", Keys: 1},
		}
		writeStatus(&b, r)
		convey.So(b.String(), convey.ShouldEndWith,
			"ACCOUNT\tPRIORITY\tKEYS\tRATE\tBURST\nmill\t1\t2\t12.5/s\t3\nnone\t0\t0\t0/s\t0\nshop\t0\t1\tunlimited\t-\n")
	})
}

// TestToken guards against a token that includes the trailing newline of its file.
func TestToken(t *testing.T) {
	convey.Convey("The token is the file's text without the trailing newline", t, func() {
		path := filepath.Join(t.TempDir(), "token")
		convey.So(os.WriteFile(path, []byte("secret\n"), 0o600), convey.ShouldBeNil)
		operator, err := (&tool{operatorName: "ana", tokenFile: path}).operatorCredentials()
		convey.So(err, convey.ShouldBeNil)
		sum := sha256.Sum256([]byte(operator.Token))
		want := sha256.Sum256([]byte("secret"))
		convey.So(hex.EncodeToString(sum[:]), convey.ShouldEqual, hex.EncodeToString(want[:]))
	})
}
