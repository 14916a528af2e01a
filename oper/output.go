package main

import (
	"encoding/json"
	"fmt"
	"os"

	"tanagershunt.example/shunt/opapi"
)

func (c *command) printJSON(v any) int {
	e := json.NewEncoder(c.out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return c.fail(err)
	}
	return exitOK
}

// printPublish prints the result of a publish and returns its exit code.
func (c *command) printPublish(r opapi.PublishResponse) int {
	if c.json {
		c.printJSON(r)
		return exitCode(r.Result)
	}
	switch r.Result {
	case opapi.ResultPublished:
		fmt.Fprintf(c.out, "published at %d\n", r.Offset)
	case opapi.ResultRejected:
		fmt.Fprintf(c.out, "rejected because of %d problems:\n", len(r.Problems))
		for _, p := range r.Problems {
			fmt.Fprintf(c.out, "  %s\n", p)
		}
	case opapi.ResultConflict:
		fmt.Fprintln(c.out, "conflict:")
		for _, x := range r.Conflict {
			fmt.Fprintf(c.out, "  %s: based on %d, now %d\n", x.Key, x.Base, x.Current)
		}
	case opapi.ResultNotPublished:
		fmt.Fprintf(c.out, "not published: %s\n", r.Reason)
	default:
		fmt.Fprintf(
			c.out,
			"unknown: %s\nask with: tsctl outcome %s; to publish, repeat the same objects with --id %s\n",
			r.Reason,
			r.ID,
			r.ID,
		)
	}
	return exitCode(r.Result)
}

func exitCode(r opapi.Result) int {
	switch r {
	case opapi.ResultPublished:
		return exitOK
	case opapi.ResultRejected:
		return exitRejected
	case opapi.ResultConflict:
		return exitConflict
	case opapi.ResultNotPublished:
		return exitNotPublished
	default:
		return exitUnknown
	}
}

// printProgress overwrites the current line of errOut with a text if it is a terminal.
func (c *command) printProgress(text string) {
	if f, ok := c.errOut.(*os.File); ok {
		if info, err := f.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
			fmt.Fprintf(f, "\r\033[K%s", text)
		}
	}
}
