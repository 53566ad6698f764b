package document

import (
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/xdg-go/scram"

	"github.com/jacinthtiller/jacinthtiller"
)

const testVerifier = "SCRAM-SHA-256$4096:AAAAAAAAAAAAAAAAAAAAAA==$" +
	"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="

const testSection = `weight: 4
databases: [registru-1, registru-2]
roles:
  - name: drawers
    verifier: ` + testVerifier + `
  - name: readers
    verifier: ` + testVerifier + `
    access: read-only
    databases: [registru-2]
read-classes:
  - {name: catalogue, max-age: 5s}
default-class: catalogue
queue-deadline: 1500ms
primary-missing: serve-reads
`

// TestParseValid guards against defaults and values missing from the parsed team.
func TestParseValid(t *testing.T) {
	convey.Convey("A section is parsed with its defaults", t, func() {
		team, faults := Parse("semintele", testSection)
		convey.So(faults, convey.ShouldBeEmpty)
		convey.So(team.Weight, convey.ShouldEqual, 4)
		convey.So(team.Roles, convey.ShouldHaveLength, 2)
		convey.So(team.Roles[0].Access, convey.ShouldEqual, AccessReadWrite)
		convey.So(team.Roles[0].MayAccess("registru-1"), convey.ShouldBeTrue)
		convey.So(team.Roles[1].MayAccess("registru-1"), convey.ShouldBeFalse)
		convey.So(team.Classes[0].MaxAgeMicroseconds, convey.ShouldEqual, 5_000_000)
		convey.So(team.StaleAgeMicroseconds, convey.ShouldEqual, 30_000_000)
		now := time.Unix(1, 0)
		convey.So(team.QueueDeadline(now).Sub(now), convey.ShouldEqual, 1500*time.Millisecond)
	})
	convey.Convey("An empty section is a team without databases", t, func() {
		team, faults := Parse("semintele", "")
		convey.So(faults, convey.ShouldBeEmpty)
		convey.So(team.Weight, convey.ShouldEqual, 1)
	})
}

// TestParseFaults guards against accepting an invalid section, and against a
// fault without its line and path.
func TestParseFaults(t *testing.T) {
	role := "databases: [a]\nroles:\n  - name: r\n    verifier: " + testVerifier + "\n"
	cases := map[string]struct {
		text string
		want []string // line, path and the start of the rule
	}{
		"unknown key":              {"wieght: 2", []string{"1 wieght is not a field"}},
		"list element path as key": {"databases[]: a", []string{"1 databases[] is not a field"}},
		"unknown key in role":      {role + "    pass: x", []string{"5 roles[0].pass is not a field"}},
		"duplicate key":            {"weight: 1\nweight: 2", []string{"2 weight must appear only once"}},
		"too small":                {"weight: 0", []string{"1 weight must be a whole number from 1 to 100"}},
		"too large":                {"weight: 101", []string{"1 weight must be a whole number"}},
		"not a number":             {"weight: [1]", []string{"1 weight must be a whole number"}},
		"null":                     {"weight:", []string{"1 weight must be a whole number"}},
		"bad duration":             {"queue-deadline: 5", []string{"1 queue-deadline must be a duration"}},
		"long duration":            {"stale-age: 25h", []string{"1 stale-age must be a duration"}},
		"bad enum value":           {"primary-missing: panic", []string{"1 primary-missing must be one of wait, refuse, serve-reads"}},
		"bad access":               {role + "    access: all", []string{"5 roles[0].access must be one of"}},
		"bad name":                 {"databases: ['a b']", []string{"1 databases[0] must be a name"}},
		"repeated database":        {"databases: [a, a]", []string{"1 databases[1] must appear only once"}},
		"not a list":               {"databases: a", []string{"1 databases must be a list"}},
		"role is not a mapping":    {"roles: [a]", []string{"1 roles[0] must be a mapping", "1 roles[0].name must be given", "1 roles[0].verifier must be given"}},
		"database outside team":    {role + "    databases: [b]", []string{"5 roles[0].databases must be one of the team's"}},
		"role twice":               {role + "  - name: r\n    verifier: " + testVerifier, []string{"5 roles[1].name must appear only once"}},
		"password as verifier":     {"roles: [{name: r, verifier: secret}]", []string{"1 roles[0].verifier must be a SCRAM-SHA-256"}},
		"default class":            {"default-class: x", []string{"1 default-class must be the name"}},
		"class twice":              {"read-classes: [{name: a}, {name: a}]", []string{"1 read-classes[1].name must appear only once"}},
		"alias":                    {"weight: &a 1\nmax-guests: *a", []string{"2 max-guests must be a whole number"}},
		"two documents":            {"weight: 1\n---\nweight: 2", []string{"2  must be a single"}},
		"not yaml":                 {"weight: 1\n\tx: [", []string{"2  must be YAML"}},
		"list at the root":         {"- a", []string{"1  must be a mapping"}},
		"too long":                 {"#" + strings.Repeat("x", maxTextBytes), []string{"0  must be at most"}},
		"two faults": {"weight: 0\nmax-guests: -1", []string{
			"1 weight must be a whole number", "2 max-guests must be a whole number",
		}},
	}
	convey.Convey("Every fault is reported with line, path and rule", t, func() {
		for name, c := range cases {
			convey.Convey(name, func() {
				_, faults := Parse("t", c.text)
				convey.So(faults, convey.ShouldHaveLength, len(c.want))
				for i, f := range faults {
					line, rest, _ := strings.Cut(c.want[i], " ")
					path, rule, _ := strings.Cut(rest, " ")
					convey.So(f.String(), convey.ShouldStartWith, "line "+line+": "+path+": ")
					convey.So(f.Rule, convey.ShouldStartWith, rule)
				}
			})
		}
	})
	convey.Convey("The team's name is checked", t, func() {
		_, faults := Parse("a b", "")
		convey.So(faults, convey.ShouldHaveLength, 1)
	})
}

// TestDirectory guards against a role returned with the wrong team, and against a missing read class.
func TestDirectory(t *testing.T) {
	convey.Convey("Given two teams", t, func() {
		sections := map[string]jacinthtiller.Section{
			"semintele": {Text: testSection},
			"other":     {Text: "weight: 2\nbogus: 1"},
		}
		d := NewDirectory(sections)
		r, team, ok := d.Role("readers")
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(r.Access, convey.ShouldEqual, AccessReadOnly)
		convey.So(team.Name, convey.ShouldEqual, "semintele")
		_, _, ok = d.Role("nobody")
		convey.So(ok, convey.ShouldBeFalse)
		c, ok := d.ReadClass("semintele", "")
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(c.Name, convey.ShouldEqual, "catalogue")
		_, ok = d.ReadClass("semintele", "none")
		convey.So(ok, convey.ShouldBeFalse)
		c, ok = d.ReadClass("other", "")
		convey.So(ok, convey.ShouldBeTrue)
		convey.So(c.MaxAgeMicroseconds, convey.ShouldEqual, 0)
		convey.So(d.Weights(), convey.ShouldResemble, map[string]int{"semintele": 4, "other": 2})
		convey.So(d.Faults(), convey.ShouldHaveLength, 1)
		convey.So(CheckUniqueRoles(sections, Team{Name: "other", Roles: []Role{{Name: "drawers"}}}), convey.ShouldHaveLength, 1)
		convey.So(CheckUniqueRoles(sections, team), convey.ShouldBeEmpty)
	})
}

// TestRolesTaken guards against a fault that names the wrong role.
func TestRolesTaken(t *testing.T) {
	convey.Convey("Only roles of other teams are reported", t, func() {
		team := Team{Name: "a", Roles: []Role{{Name: "own"}, {Name: "app"}, {Name: "new"}}}
		faults := CheckRoleConflicts(map[string]string{"own": "a", "app": "b"}, team)
		convey.So(faults, convey.ShouldHaveLength, 1)
		convey.So(faults[0].Value, convey.ShouldEqual, "app")
	})
}

// TestVerifier guards against a verifier that does not match its password and against malformed ones.
func TestVerifier(t *testing.T) {
	convey.Convey("A new verifier accepts only its password", t, func() {
		v, err := NewVerifier("s3cret")
		convey.So(err, convey.ShouldBeNil)
		stored, err := ParseVerifier(v)
		convey.So(err, convey.ShouldBeNil)
		server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
		convey.So(err, convey.ShouldBeNil)
		for password, want := range map[string]bool{"s3cret": true, "other": false} {
			c, err := scram.SHA256.NewClient("u", password, "")
			convey.So(err, convey.ShouldBeNil)
			cc, sc := c.NewConversation(), server.NewConversation()
			first, _ := cc.Step("")
			answer, _ := sc.Step(first)
			final, _ := cc.Step(answer)
			_, _ = sc.Step(final)
			convey.So(sc.Valid(), convey.ShouldEqual, want)
		}
	})
	cases := map[string]string{
		"prefix":     "md5abc",
		"parts":      "SCRAM-SHA-256$4096",
		"iterations": strings.Replace(testVerifier, "4096", "100", 1),
		"salt":       strings.Replace(testVerifier, ":AAAA", ":!", 1),
		"stored key": strings.Replace(testVerifier, "$AAAA", "$", 1),
		"server key": testVerifier[:len(testVerifier)-4],
	}
	convey.Convey("Malformed verifiers are refused", t, func() {
		for name, v := range cases {
			convey.Convey(name, func() {
				_, err := ParseVerifier(v)
				convey.So(err, convey.ShouldNotBeNil)
			})
		}
	})
}

// TestReference guards against a field missing from the reference, and against a default that violates its field's rule.
func TestReference(t *testing.T) {
	convey.Convey("Every field is listed and its default is valid", t, func() {
		text := Reference()
		for p, f := range fields {
			convey.So(text, convey.ShouldContainSubstring, "| `"+p+"` |")
			if f.defaultValue == "" {
				continue
			}
			if f.kind == kindInteger || f.kind == kindDuration {
				_, ok := f.parseNumber(f.defaultValue)
				convey.So(ok, convey.ShouldBeTrue)
				continue
			}
			convey.So(f.validText(f.defaultValue), convey.ShouldBeTrue)
		}
	})
}

// FuzzParse guards against text that makes the parser panic or return values out of bounds.
func FuzzParse(f *testing.F) {
	f.Add(testSection)
	f.Add("weight: &a 1\nmax-guests: *a")
	f.Add("roles: [{name: r}]\n---\n")
	f.Fuzz(func(t *testing.T, text string) {
		team, _ := Parse("t", text)
		if team.Weight < 1 || team.Weight > 100 || team.QueueDeadlineMicroseconds < 1000 || team.MaxGuests < 0 {
			t.Fatalf("out of bounds: %+v", team)
		}
		for _, r := range team.Roles {
			if _, err := ParseVerifier(r.Verifier); err != nil || r.Name == "" {
				t.Fatalf("role %q has a bad verifier: %v", r.Name, err)
			}
		}
	})
}
