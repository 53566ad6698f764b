package document

import (
	"fmt"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Fault is one reason why a section is not valid.
type Fault struct {
	// Line counts from 1; 0 means the section as a whole.
	Line int `cbor:"line" json:"line"`
	// Path names the field, such as roles[2].access.
	Path string `cbor:"path" json:"path"`
	// Value is the invalid value, truncated to 80 bytes.
	Value string `cbor:"value" json:"value"`
	// Rule says what the value must be.
	Rule string `cbor:"rule" json:"rule"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %q %s", f.Line, f.Path, f.Value, f.Rule)
}

// Parse parses a team's section and reports every fault. The returned team holds
// the valid values, without the roles and read classes that have a fault.
func Parse(team, text string) (Team, []Fault) {
	d := &decoder{}
	t := d.decodeTeam(team, text)
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
	return t, d.faults
}

// decoder walks the YAML nodes of one section and collects faults.
type decoder struct {
	faults []Fault
}

func (d *decoder) addFault(line int, path, value, rule string) {
	if len(value) > 80 {
		value = strings.ToValidUTF8(value[:77], "") + "..."
	}
	d.faults = append(d.faults, Fault{Line: line, Path: path, Value: value, Rule: rule})
}

func (d *decoder) decodeTeam(name, text string) Team {
	if !namePattern.MatchString(name) {
		d.addFault(0, "team", name, fields["databases[]"].rule())
	}
	m := d.decodeRoot(text)
	t := Team{
		Name:                      name,
		Weight:                    int(d.decodeNumber(m, "weight")),
		Databases:                 d.decodeNames(m, "databases"),
		DefaultClass:              d.decodeText(m, "default-class"),
		QueueDeadlineMicroseconds: d.decodeNumber(m, "queue-deadline"),
		PrimaryMissing:            PrimaryMissingPolicy(d.decodeText(m, "primary-missing")),
		StaleAgeMicroseconds:      d.decodeNumber(m, "stale-age"),
		MaxGuests:                 int(d.decodeNumber(m, "max-guests")),
	}
	d.decodeRoles(m, &t)
	d.decodeReadClasses(m, &t)
	if t.DefaultClass != "" && !t.hasClass(t.DefaultClass) {
		d.addFault(m.lineOf("default-class"), "default-class", t.DefaultClass, "must be the name of one of the read-classes")
		t.DefaultClass = ""
	}
	return t
}

func (t Team) hasClass(name string) bool {
	return slices.ContainsFunc(t.Classes, func(c ReadClass) bool { return c.Name == name })
}

// mapping is a YAML mapping whose keys have been checked against fields.
type mapping struct {
	// path is the mapping's path in faults, with a trailing dot unless the mapping is the root.
	path string
	// rulePath is path without element indexes, a prefix of keys of fields.
	rulePath  string
	startLine int
	entries   map[string]*yaml.Node
}

func (m mapping) lineOf(key string) int {
	if n, ok := m.entries[key]; ok {
		return n.Line
	}
	return m.startLine
}

// decodeRoot parses the text as a single YAML document that holds a mapping or nothing.
func (d *decoder) decodeRoot(text string) mapping {
	m := mapping{startLine: 1}
	if len(text) > maxTextBytes {
		d.addFault(0, "", text, fmt.Sprintf("must be at most %d bytes of text", maxTextBytes))
		return m
	}
	var doc yaml.Node
	dec := yaml.NewDecoder(strings.NewReader(text))
	if err := dec.Decode(&doc); err != nil {
		if err.Error() != "EOF" {
			d.addFault(errorLine(err), "", err.Error(), "must be YAML")
		}
		return m
	}
	var rest yaml.Node
	if err := dec.Decode(&rest); err == nil {
		d.addFault(rest.Line, "", "---", "must be a single YAML document")
	} else if err.Error() != "EOF" {
		d.addFault(errorLine(err), "", err.Error(), "must be YAML")
	}
	if len(doc.Content) == 0 || doc.Content[0].ShortTag() == "!!null" {
		return m
	}
	return d.decodeMapping(doc.Content[0], "", "")
}

// errorLine returns the line number in an error of the YAML parser, or 0 when there is none.
func errorLine(err error) int {
	var n int
	if _, rest, ok := strings.Cut(err.Error(), "line "); ok {
		_, _ = fmt.Sscanf(rest, "%d", &n)
	}
	return n
}

func (d *decoder) decodeMapping(n *yaml.Node, path, rulePath string) mapping {
	m := mapping{path: path, rulePath: rulePath, startLine: n.Line, entries: map[string]*yaml.Node{}}
	if n.Kind != yaml.MappingNode {
		d.addFault(n.Line, strings.TrimSuffix(path, "."), n.Value, "must be a mapping of fields")
		return m
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		_, known := fields[rulePath+k.Value]
		switch {
		case k.Kind != yaml.ScalarNode || !known || strings.Contains(k.Value, "[]"):
			d.addFault(k.Line, path+k.Value, k.Value, "is not a field of this section")
		case m.entries[k.Value] != nil:
			d.addFault(k.Line, path+k.Value, k.Value, "must appear only once")
		default:
			m.entries[k.Value] = v
		}
	}
	return m
}

// scalarText returns the text of a field, or its default and false when the field is absent or not a scalar.
func (d *decoder) scalarText(m mapping, key string) (string, bool) {
	f := fields[m.rulePath+key]
	n := m.entries[key]
	if n == nil {
		if f.required {
			d.addFault(m.startLine, m.path+key, "", "must be given")
		}
		return f.defaultValue, false
	}
	if n.Kind != yaml.ScalarNode || n.ShortTag() == "!!null" {
		d.addFault(n.Line, m.path+key, n.Value, f.rule())
		return f.defaultValue, false
	}
	return n.Value, true
}

func (d *decoder) decodeNumber(m mapping, key string) int64 {
	f := fields[m.rulePath+key]
	value, ok := d.scalarText(m, key)
	n, valid := f.parseNumber(value)
	if ok && !valid {
		d.addFault(m.lineOf(key), m.path+key, value, f.rule())
		n, _ = f.parseNumber(f.defaultValue)
	}
	return n
}

func (d *decoder) decodeText(m mapping, key string) string {
	f := fields[m.rulePath+key]
	value, ok := d.scalarText(m, key)
	if ok && !f.validText(value) {
		d.addFault(m.lineOf(key), m.path+key, value, f.rule())
		return f.defaultValue
	}
	return value
}

// listElements returns the nodes of a list field.
func (d *decoder) listElements(m mapping, key string) []*yaml.Node {
	f := fields[m.rulePath+key]
	n := m.entries[key]
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode || int64(len(n.Content)) > f.maximum {
		d.addFault(n.Line, m.path+key, n.Value, f.rule())
		return nil
	}
	return n.Content
}

func (d *decoder) decodeNames(m mapping, key string) []string {
	f := fields[m.rulePath+key+"[]"]
	var out []string
	for i, n := range d.listElements(m, key) {
		path := fmt.Sprintf("%s%s[%d]", m.path, key, i)
		switch {
		case n.Kind != yaml.ScalarNode || !f.validText(n.Value):
			d.addFault(n.Line, path, n.Value, f.rule())
		case slices.Contains(out, n.Value):
			d.addFault(n.Line, path, n.Value, "must appear only once")
		default:
			out = append(out, n.Value)
		}
	}
	return out
}

func (d *decoder) decodeRoles(m mapping, t *Team) {
	seen := map[string]bool{}
	for i, n := range d.listElements(m, "roles") {
		faultsBefore := len(d.faults)
		e := d.decodeMapping(n, fmt.Sprintf("roles[%d].", i), "roles[].")
		r := Role{
			Name: d.decodeText(e, "name"), Verifier: d.decodeText(e, "verifier"), Access: Access(d.decodeText(e, "access")),
			Databases: d.decodeNames(e, "databases"), Line: n.Line,
		}
		if e.entries["databases"] == nil {
			r.Databases = t.Databases
		}
		for _, db := range r.Databases {
			if !slices.Contains(t.Databases, db) {
				d.addFault(e.lineOf("databases"), e.path+"databases", db, "must be one of the team's databases")
			}
		}
		if r.Name != "" && seen[r.Name] {
			d.addFault(e.lineOf("name"), e.path+"name", r.Name, "must appear only once")
		}
		seen[r.Name] = true
		if len(d.faults) == faultsBefore {
			t.Roles = append(t.Roles, r)
		}
	}
}

func (d *decoder) decodeReadClasses(m mapping, t *Team) {
	for i, n := range d.listElements(m, "read-classes") {
		faultsBefore := len(d.faults)
		e := d.decodeMapping(n, fmt.Sprintf("read-classes[%d].", i), "read-classes[].")
		c := ReadClass{Name: d.decodeText(e, "name"), MaxAgeMicroseconds: d.decodeNumber(e, "max-age")}
		if c.Name != "" && t.hasClass(c.Name) {
			d.addFault(e.lineOf("name"), e.path+"name", c.Name, "must appear only once")
		}
		if len(d.faults) == faultsBefore {
			t.Classes = append(t.Classes, c)
		}
	}
}
