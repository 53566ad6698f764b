package main

import (
	"fmt"
	"strings"
)

// serverSession is the state of one connection of a server.
type serverSession struct {
	v        *server
	state    byte
	readOnly bool
	writes   []entry
	// prepared holds the access and the shape by the name of the prepared statement.
	prepared map[string]string
}

func (n *serverSession) fail(code string) (string, bool) {
	if n.state == 'T' {
		n.state = 'E'
	}
	return "ERROR " + code + " " + n.v.id, true
}

// signed returns the answer to a statement that has run.
func (n *serverSession) signed(rows string) (string, bool) {
	n.v.s.mu.Lock()
	defer n.v.s.mu.Unlock()
	n.v.s.signatures++
	return fmt.Sprintf("%sCOMPLETE 7.%x.%s", rows, n.v.s.signatures, n.v.id), true
}

// answer runs a statement. It reports false if the server has ended meanwhile.
func (n *serverSession) answer(id, text string) (string, bool) {
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		position, statement, _ := strings.Cut(rest, " ")
		if n.lacks(position) {
			return n.fail("LAGGING")
		}
		text = statement
	}
	word, rest, _ := strings.Cut(text, " ")
	if n.state == 'I' && n.refuses(word) {
		return n.fail("RETRYLATER")
	}
	if n.state == 'E' && word != "COMMIT" && word != "ROLLBACK" {
		return n.fail("MALFORMED")
	}
	if word == "EXECUTE" {
		name, arguments, _ := strings.Cut(rest, " ")
		access, _, ok := strings.Cut(n.prepared[name], " ")
		if !ok {
			return n.fail("NOSUCHSTMT")
		}
		word, rest = access, arguments
	}
	switch word {
	case "SET":
	case "DEALLOCATE":
		delete(n.prepared, rest)
	case "RESET":
		clear(n.prepared)
	case "PREPARE":
		name, definition, _ := strings.Cut(rest, " ")
		n.prepared[name] = definition
	case "STATUS", "STEPDOWN":
		return n.status(word, rest), true
	case "BEGIN":
		if rest != "READ" && !n.leads() {
			return n.fail("READONLY")
		}
		n.state, n.readOnly, n.writes = 'T', rest == "READ", nil
	case "ROLLBACK":
		n.state, n.writes = 'I', nil
	case "COMMIT":
		return n.commit()
	case "READ":
		return n.signed("ROW " + n.read(rest) + "\r\n")
	case "WRITE":
		return n.write(id, rest)
	default:
		return n.fail("MALFORMED")
	}
	return "COMPLETE -", true
}

// refuses reports whether the server has no slot for a statement.
func (n *serverSession) refuses(word string) bool {
	n.v.s.mu.Lock()
	defer n.v.s.mu.Unlock()
	return n.v.busy && (word == "STATUS" || word == "READ" || word == "WRITE" || word == "BEGIN" || word == "EXECUTE")
}

func (n *serverSession) leads() bool {
	n.v.s.mu.Lock()
	defer n.v.s.mu.Unlock()
	return n.v.primary
}

// lacks reports whether the applied log lacks the position.
func (n *serverSession) lacks(position string) bool {
	var term, number int
	_, _ = fmt.Sscanf(position, "%d.%d", &term, &number) // zero for what is no position
	n.v.s.mu.Lock()
	defer n.v.s.mu.Unlock()
	k := n.v.applied()
	last := 1
	if k > 0 {
		last = n.v.log[k-1].term
	}
	return last < term || last == term && k < number
}

// status answers STATUS and STEPDOWN.
func (n *serverSession) status(word, rest string) string {
	v := n.v
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	if word == "STEPDOWN" {
		var term int
		_, _ = fmt.Sscan(rest, &term) // zero for what is no term
		v.primary = v.primary && v.term >= term
	}
	role := "replica"
	if v.primary {
		role = "primary"
	}
	return fmt.Sprintf("ROW %s %d %s 0 0 0 %d\r\nCOMPLETE -", role, v.term, positionOf(v.log), len(v.conns))
}

func (n *serverSession) read(item string) string {
	n.v.s.mu.Lock()
	defer n.v.s.mu.Unlock()
	data := "none"
	for _, e := range n.v.log[:n.v.applied()] {
		if e.item == item {
			data = e.data
		}
	}
	for _, e := range n.writes {
		if e.item == item {
			data = e.data
		}
	}
	return data
}

func (n *serverSession) write(id, rest string) (string, bool) {
	item, data, _ := strings.Cut(rest, " ")
	if !n.leads() || n.state == 'T' && n.readOnly {
		return n.fail("READONLY")
	}
	e := entry{id: id, item: item, data: data}
	if n.state == 'T' {
		n.writes = append(n.writes, e)
		return n.signed("")
	}
	if !n.v.commit([]entry{e}) {
		return "", false
	}
	return n.signed("")
}

func (n *serverSession) commit() (string, bool) {
	state, writes := n.state, n.writes
	n.state, n.writes = 'I', nil
	switch {
	case state != 'T':
		return n.fail("MALFORMED")
	case len(writes) > 0 && !n.leads():
		return n.fail("READONLY")
	case len(writes) > 0 && !n.v.commit(writes):
		return "", false
	}
	return n.signed("")
}
