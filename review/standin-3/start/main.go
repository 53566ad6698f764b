// Command start plays the cases of the third review that are about the first start of a system: it starts the project's programs as separate processes on loopback,
// with stand-ins of the platform, of the databases, of the operator and of the clients, and records what was sent and answered.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	variableOff = "0"
)

func main() {
	recordFile := flag.String("record", "record.txt", "file that gets the record")
	flag.Parse()
	r, err := newRecord(*recordFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	trouble := os.Getenv("TROUBLE") != variableOff
	code := exitCannot
	switch flag.Arg(0) {
	case "founding":
		code = playFounding(r, trouble)
	default:
		r.write("no case has the name %q", flag.Arg(0))
	}
	r.write("exit code %d", code)
	r.close()
	os.Exit(code)
}
