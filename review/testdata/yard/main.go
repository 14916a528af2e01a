package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(*yard) (int, error){
	"born":    leavingAfterRestart,
	"slow":    timeoutAfterSlowness,
	"uploads": burstOfUploads,
}

func main() {
	binary := flag.String("tsmesh", "", "program of the deploy file")
	folder := flag.String("folder", ".", "folder of the record")
	flag.Parse()
	run := cases[flag.Arg(0)]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(notRun)
	}
	y, err := newYard(*binary, *folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		y.close()
		os.Exit(notRun)
	}()
	code, err := run(y)
	if err != nil {
		y.logf("case did not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	y.logf("exit code %d", code)
	y.close()
	os.Exit(code)
}
