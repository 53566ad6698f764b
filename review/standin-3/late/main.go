package main

import (
	"errors"
	"fmt"
	"os"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// scripts are the cases by their names.
var scripts = map[string]func(w *world, trouble bool) error{
	"holder":     loseUnknownHolder,
	"late-order": actOnLateOrder,
	"foreign":    takeForeignHeartbeats,
	"step":       drainAfterStep,
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case whose name and folder are given. It returns 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
func run(args []string) int {
	if len(args) != 2 || scripts[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: late NAME FOLDER")
		return 2
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	err = scripts[args[0]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		w.note("the rule held")
		return 0
	case errors.Is(err, errBroken):
		w.note("%v", err)
		fmt.Println(err)
		return 1
	}
	w.note("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return 2
}
