// Command tsctl is the operator's command: it checks, publishes and reads back configuration, follows
// moves, takes failure domains out and prints reports.
package main

import (
	"os"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
