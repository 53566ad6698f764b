package standin

import (
	"strings"

	"github.com/jacinthtiller/jacinthtiller"
)

// applyModes applies the transaction modes that the statement names.
func (x *transaction) applyModes(st *parsedStatement) {
	for i := range st.tokens {
		switch w := st.keyword(i); {
		case w == "READ" && st.keyword(i+1) == "ONLY":
			x.readOnly = true
		case w == "READ" && st.keyword(i+1) == "WRITE":
			x.readOnly = false
		case w == "REPEATABLE" || w == "SERIALIZABLE":
			x.snapshot = true
		}
	}
}

// settingName returns the name of a setting that begins at token i. Its parts may be joined by dots or hyphens.
func (st *parsedStatement) settingName(i int) string {
	if i >= len(st.tokens) {
		return ""
	}
	name := st.tokens[i].unquote()
	for i+2 < len(st.tokens) && (st.tokens[i+1].text == "." || st.tokens[i+1].text == "-") {
		name += st.tokens[i+1].text + st.tokens[i+2].unquote()
		i += 2
	}
	return strings.ToLower(name)
}

func (st *parsedStatement) shownSetting() string {
	if st.hasPrefix("SHOW", "TRANSACTION", "ISOLATION", "LEVEL") {
		return "transaction_isolation"
	}
	return st.settingName(1)
}

// show returns the value of a setting.
func (s *session) show(name string) (string, error) {
	name = strings.ToLower(name)
	if name == "log_position" {
		return s.target.Position().String(), nil
	}
	if v, ok := s.settings[name]; ok {
		return v, nil
	}
	for _, p := range startupParameters {
		if strings.EqualFold(p[0], name) {
			return p[1], nil
		}
	}
	switch name {
	case "transaction_isolation", "default_transaction_isolation":
		if s.tx != nil && s.tx.snapshot {
			return "repeatable read", nil
		}
		return "read committed", nil
	case "transaction_read_only":
		if s.tx != nil && s.tx.readOnly || s.target.Role() == jacinthtiller.RoleReplica {
			return "on", nil
		}
		return "off", nil
	case "default_transaction_read_only":
		return "off", nil
	case "application_name", "search_path":
		return "", nil
	case "statement_timeout", "lock_timeout":
		return "0", nil
	}
	return "", pgErrorf("42704", "unrecognized configuration parameter %q", name)
}

// set runs SET name = value, SET TRANSACTION and SET SESSION CHARACTERISTICS.
func (s *session) set(st *parsedStatement) error {
	i := 1
	if w := st.keyword(i); w == "SESSION" || w == "LOCAL" {
		i++
	}
	if st.keyword(i) == "TRANSACTION" {
		if s.tx != nil {
			s.tx.applyModes(st)
		}
		return nil
	}
	if st.keyword(i) == "CHARACTERISTICS" {
		var x transaction
		x.applyModes(st)
		s.settings["default_transaction_read_only"] = map[bool]string{true: "on", false: "off"}[x.readOnly]
		return nil
	}
	name := st.settingName(i)
	if st.keyword(i) == "TIME" {
		name = "timezone"
	}
	var valueParts []string
	for j := i; j < len(st.tokens); j++ {
		if k := st.tokens[j]; k.text == "=" || k.isKeyword("TO") || k.isKeyword("ZONE") {
			for _, k := range st.tokens[j+1:] {
				valueParts = append(valueParts, k.unquote())
			}
			break
		}
	}
	if name == "" || len(valueParts) == 0 {
		return pgErrorf("42601", "syntax error in SET")
	}
	if len(valueParts) == 1 && strings.EqualFold(valueParts[0], "DEFAULT") {
		delete(s.settings, name)
		return nil
	}
	value := strings.Join(valueParts, "")
	if name == "default_transaction_read_only" && (value == "true" || value == "1") {
		value = "on"
	}
	s.settings[name] = value
	return nil
}
