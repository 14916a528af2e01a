package trail

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Outcomes of an Explanation.
const (
	// OutcomeAnswered means that the caller got the response of a server.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that the request has not run and will not.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a server may have run the request.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeMissing means that the end of the request is not in the lines.
	OutcomeMissing Outcome = "missing"
)

type (
	// Outcome is what became of a request.
	Outcome string

	// Explanation is what the log lines say of a request.
	Explanation struct {
		Request   string   `json:"request"`
		Outcome   Outcome  `json:"outcome"`
		Statement string   `json:"statement"`
		Steps     []Step   `json:"steps"`
		Unknown   []string `json:"unknown"` // what the lines do not show
	}

	// Step is one line about the request, or one that tells what a node knew.
	Step struct {
		Event
		// After is the time since the first line about the request, negative for what a node knew before.
		After time.Duration `json:"afterNanoseconds"`
		Text  string        `json:"text"`
	}
)

// Explain explains the request from the lines that were added.
func (f *Filter) Explain() *Explanation {
	id, events := f.id, f.events
	x := &Explanation{Request: id, Outcome: OutcomeMissing}
	if f.unreadable > 0 {
		x.Unknown = append(
			x.Unknown,
			fmt.Sprintf("what %d further lines with this identifier mean; they are not log lines "+
				"of a node", f.unreadable),
		)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	var own, end []Event
	for _, e := range events {
		if !isAbout(e, id) {
			continue
		}
		own = append(own, e)
		if e.Fields["request"] == id && (e.Message == messageEnded || e.Message == messageRejected) {
			end = append(end, e)
		}
	}
	if len(own) == 0 {
		x.Statement = "no line names this request"
		x.addGaps(events, nil)
		return x
	}
	first := own[0].At
	for _, e := range append(context(events, own), own...) {
		x.Steps = append(x.Steps, Step{Event: e, After: e.At.Sub(first), Text: describe(e, id)})
	}
	slices.SortStableFunc(x.Steps, func(a, b Step) int { return cmp.Compare(a.After, b.After) })
	switch len(end) {
	case 0:
		x.Statement = "its end is not in these lines, so what its caller got is not known"
	default:
		x.Outcome, x.Statement = judge(end[len(end)-1])
	}
	if len(end) > 1 {
		x.Unknown = append(
			x.Unknown,
			fmt.Sprintf("the request ended %d times; a caller may have used its identifier again",
				len(end)),
		)
	}
	x.addGaps(events, end)
	return x
}

// isAbout reports whether a line names the request, or a call whose identifier begins with that of the request.
func isAbout(e Event, id string) bool {
	request := e.Fields["request"]
	return request == id || strings.HasPrefix(request, id+".")
}

// context returns, for each node with a line about the request, the last change of its configuration and, if a version
// of the software kept a server from running it, the last change of a move before the last of these lines.
func context(events, own []Event) []Event {
	last := make(map[string]time.Time)
	moved := false
	for _, e := range own {
		last[e.Node] = e.At
		moved = moved || strings.Contains(e.Fields["reason"], "may not run requests")
	}
	found := make(map[[2]string]Event)
	for _, e := range events {
		if at, ok := last[e.Node]; !ok || e.At.After(at) {
			continue
		}
		if e.Message == messageConfiguration || e.Message == messageMove && moved {
			found[[2]string{e.Node, e.Message}] = e
		}
	}
	list := make([]Event, 0, len(found))
	for _, e := range found {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Event) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node)) })
	return list
}

// judge returns the outcome of a request from the line about its end.
func judge(e Event) (Outcome, string) {
	status, reason := e.Fields["status"], e.Fields["reason"]
	if e.Message == messageRejected {
		return OutcomeNotRun, fmt.Sprintf("rejected with status %s before a server was chosen: %s", status, reason)
	}
	attempts := e.Fields["attempts"]
	switch e.Fields["outcome"] {
	case string(OutcomeAnswered):
		return OutcomeAnswered, fmt.Sprintf("answered with status %s, which is the server's own (%s sent to servers)",
			status, times(attempts))
	case string(OutcomeNotRun):
		text := "refused: it has not run and will not: " + reason
		if status == "0" {
			text = "not run, and not answered: " + reason
		}
		if attempts != "0" {
			text += fmt.Sprintf(" (%s sent to servers, which refused it)", times(attempts))
		}
		return OutcomeNotRun, text
	}
	return OutcomeUnknown, fmt.Sprintf("ended with status %s, and a server may have run it: %s (%s sent to servers)",
		status, reason, times(attempts))
}

func times(n string) string {
	if n == "1" {
		return "once"
	}
	return n + " times"
}

// addGaps lists what the lines do not show: nodes without the end of the request, lines that were dropped, and starts of
// nodes during the request.
func (x *Explanation) addGaps(events, end []Event) {
	if len(end) == 0 {
		x.Unknown = append(
			x.Unknown,
			"the node that took the request has no line about its end: its log is missing or "+
				"reaches back less far, the node was lost, or the request is not over",
		)
	}
	var from, to time.Time
	if len(x.Steps) > 0 {
		from, to = x.Steps[0].At, x.Steps[len(x.Steps)-1].At
	}
	for _, e := range events {
		switch {
		case e.Message == messageDropped:
			x.Unknown = append(x.Unknown, fmt.Sprintf("%s dropped %s lines of its log", e.Node, e.Fields["lines"]))
		case e.Message == messageStarted && e.At.After(from) && e.At.Before(to):
			x.Unknown = append(
				x.Unknown,
				fmt.Sprintf("%s was started at %s: what its process before knew is lost", e.Node,
					e.At.Format(time.RFC3339Nano)),
			)
		}
	}
	for _, s := range x.Steps {
		if s.Message == messageNoAnswer && s.Fields["outcome"] == string(OutcomeUnknown) {
			x.Unknown = append(
				x.Unknown,
				fmt.Sprintf("what the node %s did with the request, unless its log has a line",
					s.Fields["node"]),
			)
		}
	}
}

// describe says in a sentence what a line means.
func describe(e Event, id string) string {
	f := e.Fields
	var text string
	switch e.Message {
	case messageNotAnswered:
		text = fmt.Sprintf(
			"server %s did not answer it (%s): %s; %s of %s slots in use, %s queued, waited %s, %s left",
			cmp.Or(
				f["server"],
				"?",
			),
			f["outcome"],
			f["reason"],
			f["running"],
			f["limit"],
			f["queued"],
			f["took"],
			f["left"],
		)
		if wait := f["wait"]; wait != "" && wait != "0s" {
			text += ", expected wait " + wait
		}
	case messageNoAnswer:
		text = fmt.Sprintf("node %s did not answer (%s): %s; after %s", f["node"], f["outcome"], f["reason"], f["took"])
	case messageEnded:
		text = fmt.Sprintf("ended with status %s (%s) after %s; %s nodes asked, sent to servers %s, route %s of %s by "+
			"configuration %s", f["status"], f["outcome"], f["took"], f["nodes"], times(f["attempts"]), f["route"],
			f["service"], f["config"])
		if f["server"] != "" {
			text += ", last server " + f["server"]
		}
		if f["reason"] != "" {
			text += ": " + f["reason"]
		}
	case messageRejected:
		text = fmt.Sprintf("rejected with status %s: %s", f["status"], f["reason"])
	case messageConfiguration:
		text = "knows configuration " + f["version"]
	case messageMove:
		text = fmt.Sprintf(
			"knows the move of %s from %s to %s in phase %s",
			f["service"],
			f["from"],
			f["version"],
			f["phase"],
		)
	default:
		text = e.Message
	}
	if request := f["request"]; request != id && request != "" {
		text = "call " + strings.TrimPrefix(request, id+".") + ": " + text
	}
	return text
}
