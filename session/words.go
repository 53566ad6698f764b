package session

import "strings"

// statementWords collects the properties of one statement that follow from its words.
type statementWords struct {
	// tokens are the first tokens, enough for every form that is recognized.
	tokens []token
	second token
	last   token
	// modifies is true when a word occurs that lets a query change data or lock rows.
	modifies bool
	// callsUnknown is true when a function is called that is not known to change nothing.
	callsUnknown bool
	// readOnly is true after READ ONLY.
	readOnly bool
	// hasTo is true when the word TO occurs.
	hasTo bool
	// hold, temporary and advisory are features that outlive a transaction.
	hold, temporary, advisory bool
}

// maxTokens is the number of leading tokens kept; SET with a hyphenated name and value needs 12.
const maxTokens = 16

func (w *statementWords) add(t token) {
	if len(w.tokens) < maxTokens {
		w.tokens = append(w.tokens, t)
		if len(w.tokens) == 2 {
			w.second = t
		}
	}
	switch t.kind {
	case tokenWord:
		w.addWord(t)
	case tokenIdent:
		w.addName(strings.ToLower(t.text))
	case tokenPunct:
		if t.text == "(" && w.parenthesisCalls() {
			w.callsUnknown = true
		}
	}
	w.last = t
}

// parenthesisCalls reports whether an opening parenthesis after the last token may call an unknown function.
func (w *statementWords) parenthesisCalls() bool {
	switch w.last.kind {
	case tokenIdent:
		return true
	case tokenWord:
		return !safeCallWords[strings.ToLower(w.last.text)]
	}
	return false
}

func (w *statementWords) addWord(t token) {
	switch text := strings.ToLower(t.text); text {
	case "insert", "update", "delete", "merge", "into", "nextval", "setval":
		w.modifies = true
	case "share":
		w.modifies = w.modifies || w.last.is("for") || w.last.is("key")
	case "only":
		w.readOnly = w.readOnly || w.last.is("read")
	case "to":
		w.hasTo = true
	case "hold":
		w.hold = w.hold || w.last.is("with")
	case "temp", "temporary":
		w.temporary = w.temporary || w.makesTemporary()
	default:
		w.addName(text)
	}
}

// makesTemporary reports whether the word TEMP after the last token makes an object temporary.
func (w *statementWords) makesTemporary() bool {
	if w.last.is("into") {
		return true
	}
	if len(w.tokens) == 0 || !w.tokens[0].is("create") {
		return false
	}
	return w.last.is("create") || w.last.is("replace") || w.last.is("global") || w.last.is("local")
}

func (w *statementWords) addName(text string) {
	switch {
	case text == "pg_temp":
		w.temporary = true
	case strings.HasPrefix(text, "pg_advisory_") || strings.HasPrefix(text, "pg_try_advisory_"):
		w.advisory = w.advisory || !strings.Contains(text, "_xact_")
	}
}

// refusal returns why the statement cannot run through pooled connections, nil if it can.
func (w *statementWords) refusal() *pgError {
	first := w.tokens[0]
	switch {
	case first.is("listen"):
		return newUnsupportedError("LISTEN is not supported", "Notifications need a connection of one's own; poll instead.")
	case first.is("copy"):
		return newUnsupportedError("COPY is not supported", "Use INSERT with several rows, or SELECT.")
	case first.is("load"):
		return newUnsupportedError("LOAD is not supported", "Have the library loaded on the targets.")
	case first.is("prepare") && !w.second.is("transaction"), first.is("execute"):
		return newUnsupportedError("PREPARE and EXECUTE as statements are not supported", "Prepare with the driver, which uses the extended protocol.")
	case first.is("declare") && w.hold:
		return newUnsupportedError("DECLARE ... WITH HOLD is not supported", "Use the cursor within one transaction.")
	case w.temporary:
		return newUnsupportedError("temporary objects are not supported", "Use a common table expression or an ordinary table.")
	case w.advisory:
		return newUnsupportedError("advisory locks of a session are not supported", "Use pg_advisory_xact_lock within a transaction.")
	}
	return nil
}
