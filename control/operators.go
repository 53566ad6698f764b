package control

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"slices"

	"go.yaml.in/yaml/v3"
)

// AllTeams in an operator's teams allows every section and the calls about targets and members.
const AllTeams = "*"

// Operators holds the people who may make changes. A nil Operators allows everybody.
type Operators struct {
	byName map[string]operator
}

// operator is one entry of the operators file.
type operator struct {
	Name string `yaml:"name"`
	// TokenSHA256 is the hexadecimal SHA-256 of the operator's token.
	TokenSHA256 string   `yaml:"token-sha256"`
	Teams       []string `yaml:"teams"`

	sum []byte
}

// ForbiddenError reports that an operator may not make a change.
type ForbiddenError struct {
	Operator string
	Reason   string
}

// Error names the operator and the reason.
func (e *ForbiddenError) Error() string { return fmt.Sprintf("operator %q: %s", e.Operator, e.Reason) }

// ReadOperators reads an operators file: a YAML list of name, token-sha256 and teams.
func ReadOperators(path string) (*Operators, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read operators file: %w", err)
	}
	o, err := ParseOperators(b)
	if err != nil {
		return nil, fmt.Errorf("operators file %s: %w", path, err)
	}
	return o, nil
}

// ParseOperators parses the text of an operators file and reports all its faults.
func ParseOperators(text []byte) (*Operators, error) {
	var list []operator
	d := yaml.NewDecoder(bytes.NewReader(text))
	d.KnownFields(true)
	if err := d.Decode(&list); err != nil {
		return nil, fmt.Errorf("decode: %w", err)
	}
	out := &Operators{byName: map[string]operator{}}
	var faults []error
	for i, o := range list {
		sum, err := hex.DecodeString(o.TokenSHA256)
		_, twice := out.byName[o.Name]
		switch {
		case o.Name == "" || twice:
			faults = append(faults, fmt.Errorf("entry %d: name %q is empty or used twice", i+1, o.Name))
		case err != nil || len(sum) != sha256.Size:
			faults = append(faults, fmt.Errorf("entry %d: token-sha256 of %q is not 64 hexadecimal digits", i+1, o.Name))
		}
		o.sum = sum
		out.byName[o.Name] = o
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	return out, nil
}

// allow authenticates the operator and checks the permission for the team; AllTeams stands for the group as a whole.
func (o *Operators) allow(who Operator, team string) error {
	if o == nil {
		return nil
	}
	entry, ok := o.byName[who.Name]
	sum := sha256.Sum256([]byte(who.Token))
	if !ok || subtle.ConstantTimeCompare(sum[:], entry.sum) != 1 {
		return &ForbiddenError{Operator: who.Name, Reason: "name or token is wrong"}
	}
	if !slices.Contains(entry.Teams, team) && !slices.Contains(entry.Teams, AllTeams) {
		return &ForbiddenError{Operator: who.Name, Reason: fmt.Sprintf("may not act for team %q", team)}
	}
	return nil
}
