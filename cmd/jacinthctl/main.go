// Command jacinthctl operates jacinthtiller.
package main

import (
	"context"
	"os"

	"github.com/jacinthtiller/jacinthtiller/operator"
)

func main() { os.Exit(operator.Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }
