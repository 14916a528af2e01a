// Package logkv makes loggers that write one line of key=value pairs for each event.
package logkv

import (
	"io"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

// New returns a logger that writes to w from a level on: debug, info, warn or error. An empty level means info.
func New(w io.Writer, level string) *log.Logger {
	l := log.InfoLevel
	if parsed, err := log.ParseLevel(level); err == nil {
		l = parsed
	}
	return &log.Logger{Handler: logfmt.New(w), Level: l}
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger {
	return &log.Logger{Handler: logfmt.New(io.Discard), Level: log.FatalLevel}
}
