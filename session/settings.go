package session

import (
	"slices"
	"strings"

	"github.com/jacinthtiller/jacinthtiller"
)

// settingPrefix begins the names of the proxy's own settings.
const settingPrefix = "jacinthtiller."

// commandKind is the effect of a statement that the session answers.
type commandKind byte

const (
	commandNoOp       commandKind = iota // changes nothing
	commandSet                           // sets command.name to command.value
	commandReset                         // sets command.name, or everything, to its default
	commandShow                          // returns command.name
	commandDiscard                       // drops prepared statements and settings
	commandDeallocate                    // drops the prepared statement command.name, or all
)

// command is a statement that the session answers.
type command struct {
	kind commandKind
	// tag is the text of CommandComplete.
	tag string
	// name is a setting's name without prefix and with hyphens, or a statement's name; empty means all.
	name  string
	value string
}

// settingName returns a setting's name in lower case, without the prefix and with hyphens.
func settingName(name string) string {
	return strings.ReplaceAll(strings.TrimPrefix(strings.ToLower(name), settingPrefix), "_", "-")
}

// acceptedSettings maps settings to the values, in lower case, that match how the session behaves
// anyway; an empty list accepts every value.
var acceptedSettings = map[string][]string{
	"application_name":                    nil,
	"bytea_output":                        {"hex"},
	"client_encoding":                     {"utf8", "utf-8", "unicode"},
	"client_min_messages":                 nil,
	"datestyle":                           {"iso", "iso, mdy", "iso,mdy"},
	"default_transaction_isolation":       {"read committed"},
	"default_transaction_read_only":       {"off", "false"},
	"extra_float_digits":                  {"1", "2", "3"},
	"idle_in_transaction_session_timeout": {"0"},
	"intervalstyle":                       {"postgres"},
	"lock_timeout":                        {"0"},
	"standard_conforming_strings":         {"on", "true"},
	"statement_timeout":                   {"0"},
	"timezone":                            {"utc", "etc/utc", "gmt"},
}

// checkSetting returns an error unless setting the value changes nothing.
func checkSetting(name, value string) *pgError {
	values, known := acceptedSettings[strings.ToLower(name)]
	ok := known && len(values) == 0
	for _, v := range values {
		ok = ok || strings.EqualFold(v, value)
	}
	if ok {
		return nil
	}
	return newUnsupportedError("a session cannot set "+name+" to this value",
		"Connections to targets are shared; use SET LOCAL within a transaction.")
}

// readCommand stores the statement in c.command if the session answers it, and reports whether it does.
func (w *statementWords) readCommand(c *classifier) bool {
	var cmd *command
	switch first := w.tokens[0]; {
	case first.is("set"):
		cmd = w.setCommand(c)
	case first.is("reset"):
		cmd = &command{kind: commandReset, tag: "RESET"}
		if name := joinTokens(w.tokens[1:]); strings.HasPrefix(strings.ToLower(name), settingPrefix) {
			cmd.name = settingName(name)
		} else if !strings.EqualFold(name, "all") {
			cmd.kind = commandNoOp
		}
	case first.is("show"):
		if name := joinTokens(w.tokens[1:]); strings.HasPrefix(strings.ToLower(name), settingPrefix) {
			cmd = &command{kind: commandShow, tag: "SHOW", name: settingName(name)}
		} else if strings.EqualFold(name, "transaction_read_only") {
			w.modifies = true // drivers send it to find out whether they can write
		}
	case first.is("discard"):
		cmd = &command{kind: commandNoOp, tag: "DISCARD " + strings.ToUpper(w.second.text)}
		if w.second.is("all") {
			cmd.kind = commandDiscard
		}
	case first.is("deallocate"):
		cmd = w.deallocateCommand()
	case first.is("unlisten"):
		cmd = &command{kind: commandNoOp, tag: "UNLISTEN"}
	}
	if cmd == nil {
		return false
	}
	if c.command == nil {
		c.command = cmd
	}
	return true
}

func (w *statementWords) deallocateCommand() *command {
	rest := w.tokens[1:]
	if len(rest) > 0 && rest[0].is("prepare") {
		rest = rest[1:]
	}
	if len(rest) == 0 || rest[0].is("all") {
		return &command{kind: commandDeallocate, tag: "DEALLOCATE ALL"}
	}
	name := rest[0].text
	if rest[0].kind == tokenWord {
		name = strings.ToLower(name)
	}
	return &command{kind: commandDeallocate, tag: "DEALLOCATE", name: name}
}

// setCommand parses SET; nil means that the target runs the statement.
func (w *statementWords) setCommand(c *classifier) *command {
	rest := w.tokens[1:]
	local := len(rest) > 0 && rest[0].is("local")
	if len(rest) > 0 && (local || rest[0].is("session")) {
		rest = rest[1:]
	}
	if len(rest) > 0 && (rest[0].is("transaction") || rest[0].is("constraints")) {
		return nil
	}
	name, value := splitSetting(rest)
	proxySetting := strings.HasPrefix(strings.ToLower(name), settingPrefix)
	switch {
	case proxySetting && local:
		c.refuse(newUnsupportedError("SET LOCAL of a setting of the proxy is not supported", "Use SET, or a comment before the statement."))
	case proxySetting && hasEscapes(rest):
		c.refuse(newUnsupportedError("a setting of the proxy cannot be set to a constant with escapes", "Use a constant without backslashes."))
	case proxySetting:
		return &command{kind: commandSet, tag: "SET", name: settingName(name), value: value}
	case local:
		return nil
	default:
		if pgErr := checkSetting(name, value); pgErr != nil {
			c.refuse(pgErr)
		}
	}
	return &command{kind: commandNoOp, tag: "SET"}
}

func (c *classifier) refuse(pgErr *pgError) {
	if c.refusal == nil {
		c.refusal = pgErr
	}
}

// hasEscapes reports whether a token is a constant whose text is not its value.
func hasEscapes(tokens []token) bool {
	return slices.ContainsFunc(tokens, func(t token) bool { return t.kind == tokenEscaped })
}

// splitSetting splits the tokens after SET into name and value; the value is empty for DEFAULT.
func splitSetting(tokens []token) (name, value string) {
	if len(tokens) > 1 && tokens[0].is("names") {
		return "client_encoding", joinTokens(tokens[1:])
	}
	if len(tokens) > 2 && tokens[0].is("time") && tokens[1].is("zone") {
		return "timezone", joinTokens(tokens[2:])
	}
	for i, t := range tokens {
		if t.isPunct('=') || t.is("to") {
			value := tokens[i+1:]
			if len(value) == 1 && value[0].is("default") {
				value = nil
			}
			return joinTokens(tokens[:i]), joinTokens(value)
		}
	}
	return joinTokens(tokens), ""
}

// joinTokens concatenates the texts of the tokens, with a space between words.
func joinTokens(tokens []token) string {
	var b strings.Builder
	for i, t := range tokens {
		if i > 0 && t.kind == tokenWord && tokens[i-1].kind == tokenWord {
			b.WriteByte(' ')
		}
		text := t.text
		if t.kind == tokenString {
			text = strings.ReplaceAll(text, "''", "'")
		}
		b.WriteString(text)
	}
	return b.String()
}

// settings holds a session's values of the proxy's settings.
type settings struct {
	readClass string
	// idempotencyKey applies to the next write; it is cleared when that write is answered with a known outcome.
	idempotencyKey string
	// mark is the later of the newest acknowledged write and the newest position read.
	mark jacinthtiller.Position
	// markFromGuest is true when the guest supplied a mark, so the primary's owner need not be asked.
	markFromGuest bool
}

// setSetting changes one setting.
func (s *session) setSetting(name, value string) *pgError {
	switch name {
	case "read-class":
		if value != "" {
			if _, ok := s.server.directory().ReadClass(s.team, value); !ok {
				return newPgError(codeInvalidValue, "read class %q does not exist", value)
			}
		}
		s.settings.readClass = value
	case "idempotency-key":
		s.settings.idempotencyKey = value
	case "mark":
		if value == "" {
			s.settings.markFromGuest = false
			return nil
		}
		p, err := jacinthtiller.ParsePosition(value)
		if err != nil {
			return newPgError(codeInvalidValue, "%v", err)
		}
		s.settings.mark, s.settings.markFromGuest = s.settings.mark.Max(p), true
	default:
		return newPgError(codeUnknownParameter, "setting %q does not exist", settingPrefix+name)
	}
	return nil
}

func (s *session) showSetting(name string) (string, *pgError) {
	switch name {
	case "read-class":
		return s.settings.readClass, nil
	case "idempotency-key":
		return s.settings.idempotencyKey, nil
	case "mark":
		return s.settings.mark.String(), nil
	}
	return "", newPgError(codeUnknownParameter, "setting %q does not exist", settingPrefix+name)
}

// executeCommand runs a command and returns the value of SHOW.
func (s *session) executeCommand(c *command) (string, *pgError) {
	switch c.kind {
	case commandSet:
		return "", s.setSetting(c.name, c.value)
	case commandShow:
		return s.showSetting(c.name)
	case commandReset, commandDiscard:
		if c.name != "" {
			return "", s.setSetting(c.name, "")
		}
		s.settings = settings{mark: s.settings.mark}
		if c.kind == commandDiscard {
			clear(s.statements)
		}
	case commandDeallocate:
		if c.name == "" {
			clear(s.statements)
			return "", nil
		}
		if _, ok := s.statements[c.name]; !ok {
			return "", newPgError(codeNoStatement, "prepared statement %q does not exist", c.name)
		}
		delete(s.statements, c.name)
	}
	return "", nil
}
