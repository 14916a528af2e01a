// Package server tracks the state of the node's backend server.
package server

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

// maxSlots bounds the announced concurrency, to reject mistyped numbers.
const maxSlots = 1_000_000

type (
	// Announcement is the body of POST /v1/announce. The server repeats it as a heartbeat.
	Announcement struct {
		Service  string `json:"service"`
		Version  string `json:"version"`
		Slots    int    `json:"slots"`              // concurrent requests that the server can run
		Address  string `json:"address"`            // ip:port of the server
		Health   string `json:"health,omitempty"`   // path of a health endpoint
		Load     string `json:"load,omitempty"`     // path of a load endpoint
		Instance string `json:"instance,omitempty"` // differs between two starts of the server
	}

	// Record is the state of the node's backend server. Service is empty when none is announced.
	Record struct {
		Announcement
		Leaving    bool
		LeavingAt  time.Time // when it announced that it is leaving
		Ready      bool      // reachable as far as known; false after Limits.Refusals failed connections
		ReadySince time.Time
		Starts     uint64 // incremented whenever the server counts as newly started and therefore cold
	}

	// Hints is the latest result of polling the server's endpoints. It may be outdated or misleading.
	Hints struct {
		At     time.Time
		Health bool   // the health endpoint responded below 500 or, if there is none, a TCP connection succeeded
		Load   string // beginning of the load endpoint's response
	}
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Available reports whether a server is announced, ready and not leaving.
func (r Record) Available() bool {
	return r.Service != "" && r.Ready && !r.Leaving
}

// Validate returns an error that names the first invalid field and quotes its value.
func (a Announcement) Validate() error {
	switch {
	case !namePattern.MatchString(a.Service):
		return fmt.Errorf("service: %q is not a name", a.Service)
	case !namePattern.MatchString(a.Version):
		return fmt.Errorf("version: %q is not a name", a.Version)
	case a.Slots < 1 || a.Slots > maxSlots:
		return fmt.Errorf("slots: %d is not between 1 and %d", a.Slots, maxSlots)
	case a.Health != "" && !strings.HasPrefix(a.Health, "/"):
		return fmt.Errorf("health: %q is not an absolute path", a.Health)
	case a.Load != "" && !strings.HasPrefix(a.Load, "/"):
		return fmt.Errorf("load: %q is not an absolute path", a.Load)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("address: %q is not ip:port", a.Address)
	}
	return nil
}

// sameStart reports whether two announcements appear to come from the same start of the same server.
func (a Announcement) sameStart(b Announcement) bool {
	return a.Service == b.Service && a.Version == b.Version && a.Address == b.Address && a.Instance == b.Instance
}
