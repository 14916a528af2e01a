// Command rig plays the cases of an independent review: it starts nodes as separate processes on loopback addresses, with
// stand-ins of the platform's store, of backend servers and of callers.
package main

import (
	_ "embed"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs.
const caseTimeout = 115 * time.Second

type (
	// caseFunc plays a case. It reports whether the rule was broken.
	caseFunc func(w *world) (broken bool, err error)

	// recorder writes record.txt, one line for each event, with the time since the start.
	recorder struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}
)

var (
	//go:embed words.json
	wordsData []byte
	words     = mustWords()

	cases = map[string]caseFunc{
		"late-heartbeat": playLateHeartbeat,
		"late-write":     playLateWrite,
		"stale-relay":    playStaleRelay,
		"skipped-trial":  playSkippedTrial,
	}
)

func mustWords() map[string]string {
	var m map[string]string
	if err := json.Unmarshal(wordsData, &m); err != nil {
		panic(err)
	}
	return m
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func main() { os.Exit(run()) }

func run() int {
	binary := flag.String("mesh", "target/tsmesh", "program of a node")
	record := flag.String("record", "record.txt", "file to write")
	flag.Parse()
	play, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", flag.Arg(0))
		return exitNotRun
	}
	code, err := playCase(play, *binary, *record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	return code
}

func playCase(play caseFunc, binary, record string) (int, error) {
	path, err := filepath.Abs(binary)
	if err != nil {
		return 0, err
	}
	if _, err = os.Stat(path); err != nil {
		return 0, errors.New("the program of the deploy file is not built")
	}
	file, err := os.Create(record)
	if err != nil {
		return 0, err
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		return 0, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	rec := &recorder{file: file, start: time.Now()}
	w := newWorld(path, dir, rec, os.Getenv("TROUBLE") != "0")
	rec.printf("trouble: %v", w.trouble)
	defer w.close()
	time.AfterFunc(caseTimeout, func() {
		rec.printf("the case took too long")
		w.close()
		os.Exit(exitNotRun)
	})
	broken, err := play(w)
	if err != nil {
		rec.printf("the case could not run: %v", err)
		return 0, err
	}
	if broken {
		rec.printf("RESULT: the rule was broken")
		return exitBroken, nil
	}
	rec.printf("RESULT: the rule held")
	return exitHeld, nil
}
