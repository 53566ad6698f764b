package event

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the page docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\n")
	b.WriteString("Every log line and trace record carries the number of its event. Numbers never change. This page is\n")
	b.WriteString("written by `go test ./event -update` from the catalogue in the code.\n\n")
	b.WriteString("| number | name | level | meaning |\n| --- | --- | --- | --- |\n")
	for _, k := range Catalogue() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", k.Number, k.Name, k.Level, k.Text)
	}
	return b.String()
}
