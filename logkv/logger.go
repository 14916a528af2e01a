// Package logkv sets up logs of one line of key=value pairs for each event.
package logkv

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// Setup makes the process's log write to w from a level on: debug, info, warn or error. An empty level
// means info.
func Setup(w io.Writer, level string) {
	log.SetHandler(logfmt.New(w))
	log.SetLevel(log.InfoLevel)
	if parsed, err := log.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
}
