// Package logger configures logging with one line of key=value pairs per event.
package logger

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// Configure makes the process-wide logger write to w at the given minimum level: debug, info, warn or error. An empty
// or unknown level means info.
func Configure(w io.Writer, level string) {
	log.SetHandler(logfmt.New(&lineWriter{out: w}))
	log.SetLevel(log.InfoLevel)
	if parsed, err := log.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
}
