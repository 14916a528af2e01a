// Package trail explains what became of a request from the log lines of the nodes that handled it.
package trail

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// maxLineBytes bounds a line of a log. A longer one is an error: nodes write none.
const maxLineBytes = 1 << 20

// Messages of nodes' log lines.
const (
	messageEnded         = "request ended"
	messageRejected      = "request rejected"
	messageNotAnswered   = "request not answered by server"
	messageNoAnswer      = "node did not answer request"
	messageConfiguration = "configuration in force"
	messageMove          = "move changed"
	messageStarted       = "node started"
	messageDropped       = "log lines dropped"
)

type (
	// Event is one line of a node's log.
	Event struct {
		At      time.Time         `json:"at"`
		Node    string            `json:"node"`
		Message string            `json:"message"`
		Fields  map[string]string `json:"fields"`
	}

	// Filter selects the lines of a log that explain a request. It must be created with NewFilter.
	Filter struct {
		id         string
		events     []Event
		unreadable int // lines that name the request and have another format
	}
)

// Texts returns the texts of which each line that Add selects contains one.
func (f *Filter) Texts() []string {
	return []string{f.id, messageConfiguration, messageMove, messageStarted, messageDropped}
}

// NewFilter returns a filter for the lines that explain the request with an identifier.
func NewFilter(id string) *Filter { return &Filter{id: id} }

// ReadLog reads the log of a node. Its name is replaced by a word before the line, if there is one.
func (f *Filter) ReadLog(node string, r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		f.Add(node, lines.Text())
	}
	return lines.Err()
}

// Add adds one line of a node's log. Lines that do not explain the request are ignored. Those that name it in another
// format, such as that of another program, are counted for the explanation.
func (f *Filter) Add(node, line string) {
	own := strings.Contains(line, f.id)
	if !own && !strings.Contains(line, "message=") && !strings.Contains(line, messageDropped) {
		return
	}
	e, err := parse(node, line)
	if err != nil {
		if own {
			f.unreadable++
		}
		return
	}
	switch e.Message {
	case messageConfiguration, messageMove, messageStarted, messageDropped:
		f.events = append(f.events, e)
	default:
		if id := e.Fields["request"]; id == f.id || strings.HasPrefix(id, f.id+".") {
			f.events = append(f.events, e)
		}
	}
}

// parse reads a line in logfmt. The last word before its first field, if any, is the name of the node.
func parse(node, line string) (Event, error) {
	e := Event{Node: node, Fields: make(map[string]string)}
	start := strings.Index(line, "timestamp=")
	if start < 0 {
		start = max(strings.Index(line, "level="), 0)
	}
	if words := strings.Fields(line[:start]); len(words) > 0 {
		e.Node = words[len(words)-1]
	}
	d := logfmt.NewDecoder(strings.NewReader(line[start:]))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			e.Fields[string(d.Key())] = string(d.Value())
		}
	}
	if err := d.Err(); err != nil {
		return e, err
	}
	e.Message = e.Fields["message"]
	if e.Message == "" {
		e.Message = e.Fields["msg"]
	}
	if e.Message == "" {
		return e, errors.New("line has no message")
	}
	if at, err := time.Parse(time.RFC3339Nano, e.Fields["timestamp"]); err == nil {
		e.At = at
	}
	for _, key := range []string{"message", "msg", "timestamp", "level"} {
		delete(e.Fields, key)
	}
	return e, nil
}
