// Command tsctl is the operators' command-line client: it validates, publishes and reads configuration, follows
// moves, takes failure domains out of service and prints reports.
package main

import (
	"os"
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
