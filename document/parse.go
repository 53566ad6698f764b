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
	// Value is the offending value, shortened to 80 bytes.
	Value string `cbor:"value" json:"value"`
	// Rule says what the value must be.
	Rule string `cbor:"rule" json:"rule"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s: %q %s", f.Line, f.Path, f.Value, f.Rule)
}

// Parse reads a team's section and reports every fault. The team returned holds
// what is valid; roles and read classes with a fault are left out of it.
func Parse(team, text string) (Team, []Fault) {
	d := &decoder{}
	t := d.team(team, text)
	slices.SortStableFunc(d.faults, func(a, b Fault) int { return a.Line - b.Line })
	return t, d.faults
}

// decoder walks the YAML nodes of one section and collects faults.
type decoder struct {
	faults []Fault
}

func (d *decoder) fault(line int, path, value, rule string) {
	if len(value) > 80 {
		value = strings.ToValidUTF8(value[:77], "") + "..."
	}
	d.faults = append(d.faults, Fault{Line: line, Path: path, Value: value, Rule: rule})
}

func (d *decoder) team(name, text string) Team {
	if !namePattern.MatchString(name) {
		d.fault(0, "team", name, fields["databases[]"].rule())
	}
	m := d.root(text)
	t := Team{
		Name:                      name,
		Weight:                    int(d.number(m, "weight")),
		Databases:                 d.names(m, "databases"),
		DefaultClass:              d.text(m, "default-class"),
		QueueDeadlineMicroseconds: d.number(m, "queue-deadline"),
		PrimaryMissing:            Missing(d.text(m, "primary-missing")),
		StaleAgeMicroseconds:      d.number(m, "stale-age"),
		MaxGuests:                 int(d.number(m, "max-guests")),
	}
	d.roles(m, &t)
	d.classes(m, &t)
	if t.DefaultClass != "" && !t.hasClass(t.DefaultClass) {
		d.fault(m.line("default-class"), "default-class", t.DefaultClass, "must be the name of one of the read-classes")
		t.DefaultClass = ""
	}
	return t
}

func (t Team) hasClass(name string) bool {
	return slices.ContainsFunc(t.Classes, func(c ReadClass) bool { return c.Name == name })
}

// mapping is a YAML mapping whose keys have been checked against the table.
type mapping struct {
	// path is the mapping's place as a fault shows it, with a trailing dot unless it is the root.
	path string
	// rules is the same place as a key of the table, without numbers of elements.
	rules   string
	at      int
	entries map[string]*yaml.Node
}

func (m mapping) line(key string) int {
	if n, ok := m.entries[key]; ok {
		return n.Line
	}
	return m.at
}

// root reads the text as one YAML document that holds a mapping or nothing.
func (d *decoder) root(text string) mapping {
	m := mapping{at: 1}
	if len(text) > maxTextBytes {
		d.fault(0, "", text, fmt.Sprintf("must be at most %d bytes of text", maxTextBytes))
		return m
	}
	var doc yaml.Node
	dec := yaml.NewDecoder(strings.NewReader(text))
	if err := dec.Decode(&doc); err != nil {
		if err.Error() != "EOF" {
			d.fault(errorLine(err), "", err.Error(), "must be YAML")
		}
		return m
	}
	var rest yaml.Node
	if err := dec.Decode(&rest); err == nil {
		d.fault(rest.Line, "", "---", "must be a single YAML document")
	} else if err.Error() != "EOF" {
		d.fault(errorLine(err), "", err.Error(), "must be YAML")
	}
	if len(doc.Content) == 0 || doc.Content[0].ShortTag() == "!!null" {
		return m
	}
	return d.mapping(doc.Content[0], "", "")
}

// errorLine finds the line in an error of the YAML reader; 0 when there is none.
func errorLine(err error) int {
	var n int
	if _, rest, ok := strings.Cut(err.Error(), "line "); ok {
		_, _ = fmt.Sscanf(rest, "%d", &n)
	}
	return n
}

func (d *decoder) mapping(n *yaml.Node, path, rules string) mapping {
	m := mapping{path: path, rules: rules, at: n.Line, entries: map[string]*yaml.Node{}}
	if n.Kind != yaml.MappingNode {
		d.fault(n.Line, strings.TrimSuffix(path, "."), n.Value, "must be a mapping of fields")
		return m
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		_, known := fields[rules+k.Value]
		switch {
		case k.Kind != yaml.ScalarNode || !known || strings.Contains(k.Value, "[]"):
			d.fault(k.Line, path+k.Value, k.Value, "is not a field of this section")
		case m.entries[k.Value] != nil:
			d.fault(k.Line, path+k.Value, k.Value, "must appear only once")
		default:
			m.entries[k.Value] = v
		}
	}
	return m
}

// scalar returns the text of a field, or its default and false when it is absent or not a scalar.
func (d *decoder) scalar(m mapping, key string) (string, bool) {
	f := fields[m.rules+key]
	n := m.entries[key]
	if n == nil {
		if f.required {
			d.fault(m.at, m.path+key, "", "must be given")
		}
		return f.def, false
	}
	if n.Kind != yaml.ScalarNode || n.ShortTag() == "!!null" {
		d.fault(n.Line, m.path+key, n.Value, f.rule())
		return f.def, false
	}
	return n.Value, true
}

func (d *decoder) number(m mapping, key string) int64 {
	f := fields[m.rules+key]
	value, ok := d.scalar(m, key)
	n, valid := f.number(value)
	if ok && !valid {
		d.fault(m.line(key), m.path+key, value, f.rule())
		n, _ = f.number(f.def)
	}
	return n
}

func (d *decoder) text(m mapping, key string) string {
	f := fields[m.rules+key]
	value, ok := d.scalar(m, key)
	if ok && !f.valid(value) {
		d.fault(m.line(key), m.path+key, value, f.rule())
		return f.def
	}
	return value
}

// elements returns the nodes of a list field.
func (d *decoder) elements(m mapping, key string) []*yaml.Node {
	f := fields[m.rules+key]
	n := m.entries[key]
	if n == nil {
		return nil
	}
	if n.Kind != yaml.SequenceNode || int64(len(n.Content)) > f.greatest {
		d.fault(n.Line, m.path+key, n.Value, f.rule())
		return nil
	}
	return n.Content
}

func (d *decoder) names(m mapping, key string) []string {
	f := fields[m.rules+key+"[]"]
	var out []string
	for i, n := range d.elements(m, key) {
		path := fmt.Sprintf("%s%s[%d]", m.path, key, i)
		switch {
		case n.Kind != yaml.ScalarNode || !f.valid(n.Value):
			d.fault(n.Line, path, n.Value, f.rule())
		case slices.Contains(out, n.Value):
			d.fault(n.Line, path, n.Value, "must appear only once")
		default:
			out = append(out, n.Value)
		}
	}
	return out
}

func (d *decoder) roles(m mapping, t *Team) {
	seen := map[string]bool{}
	for i, n := range d.elements(m, "roles") {
		before := len(d.faults)
		e := d.mapping(n, fmt.Sprintf("roles[%d].", i), "roles[].")
		r := Role{
			Name: d.text(e, "name"), Verifier: d.text(e, "verifier"), Access: Access(d.text(e, "access")),
			Databases: d.names(e, "databases"), Line: n.Line,
		}
		if e.entries["databases"] == nil {
			r.Databases = t.Databases
		}
		for _, db := range r.Databases {
			if !slices.Contains(t.Databases, db) {
				d.fault(e.line("databases"), e.path+"databases", db, "must be one of the team's databases")
			}
		}
		if r.Name != "" && seen[r.Name] {
			d.fault(e.line("name"), e.path+"name", r.Name, "must appear only once")
		}
		seen[r.Name] = true
		if len(d.faults) == before {
			t.Roles = append(t.Roles, r)
		}
	}
}

func (d *decoder) classes(m mapping, t *Team) {
	for i, n := range d.elements(m, "read-classes") {
		before := len(d.faults)
		e := d.mapping(n, fmt.Sprintf("read-classes[%d].", i), "read-classes[].")
		c := ReadClass{Name: d.text(e, "name"), MaxAgeMicroseconds: d.number(e, "max-age")}
		if c.Name != "" && t.hasClass(c.Name) {
			d.fault(e.line("name"), e.path+"name", c.Name, "must appear only once")
		}
		if len(d.faults) == before {
			t.Classes = append(t.Classes, c)
		}
	}
}
