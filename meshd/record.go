package meshd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

// Ranges of the fields of mesh records. Any client of the store can write such records.
const (
	// maxMeshRecordBytes is several times the size of the largest record that nodes write.
	maxMeshRecordBytes = 16 << 10
	// maxNesting bounds the depth of a record, which may have fields of later versions.
	maxNesting = 16
	// maxNameLength bounds names and identifiers, in bytes. They are sent in headers.
	maxNameLength   = 255
	maxReasonLength = 1 << 10
	// maxSlots bounds the concurrent requests of a server.
	maxSlots = 1 << 16
	// maxLinkMegabits is 1 Tbit/s.
	maxLinkMegabits = 1_000_000
	// maxColdTime bounds the remaining time of a cold start.
	maxColdTime = time.Hour
	// maxOrderAge bounds the age of an order in the record of its move.
	maxOrderAge = 24 * time.Hour
	// maxClockLead is how far the clock of another node may be ahead of the local one.
	maxClockLead = 24 * time.Hour
	// maxAgeYears is how long ago a version may have started. An earlier start counts as unknown.
	maxAgeYears = 10
	// maxOffset bounds offsets and sequences: integers up to it are exact in every JSON implementation.
	maxOffset = 1 << 53
)

// nodeEntry is the state that a node publishes about itself and its backend server, as a record of the mesh topic.
type nodeEntry struct {
	Calls     string `json:"calls"`               // address of the node for requests of other nodes, identifies the entry
	Control   string `json:"control"`             // address of the node's feed
	Operators string `json:"operators,omitempty"` // address of the node for operators
	Link      int    `json:"link"`                // bandwidth of the node's link, megabits per second
	Domain    string `json:"domain"`
	Service   string `json:"service"`
	Server    string `json:"server"` // identifier
	Born      int64  `json:"born"`
	Sequence  int64  `json:"seq"`
	Version   string `json:"version"`
	Since     int64  `json:"since"` // start of the first server of this version here, milliseconds since the epoch
	Slots     int    `json:"slots"`
	Leaving   bool   `json:"leaving,omitempty"`
	Departed  bool   `json:"departed,omitempty"` // the server has deregistered, so that any report of it is a delayed one
	// Unseen and UnseenBorn name a later server that has deregistered before any report of it arrived.
	Unseen     string `json:"unseen,omitempty"`
	UnseenBorn int64  `json:"unseenBorn,omitempty"`
	ColdMS     int64  `json:"coldMs,omitempty"`
	Started    int64  `json:"started"` // start of the node, nanoseconds since the epoch
	Stopping   bool   `json:"stopping,omitempty"`
	Written    int64  `json:"written,omitempty"` // number of the entry among those of its process, from 1 on
}

// isOlder reports whether the entry was written before another one of the same node. The store may do a write that got no
// answer seconds later, after those that followed it. Entries without a number, of earlier versions of the program, are
// not ordered within their process.
func (e nodeEntry) isOlder(other nodeEntry) bool {
	if e.Started != other.Started {
		return e.Started < other.Started
	}
	return e.Written < other.Written
}

// serverReport returns the state of the entry's server, without its address.
func (e nodeEntry) serverReport() shunt.ServerReport {
	return shunt.ServerReport{
		ID: e.Server, Born: e.Born, Sequence: e.Sequence, Service: e.Service, Domain: e.Domain, Version: e.Version,
		Slots: e.Slots, Leaving: e.Leaving,
	}
}

// decodeEntry decodes and validates the entry of the node with the given address.
func decodeEntry(nodeAddr string, data []byte, now time.Time) (nodeEntry, error) {
	var e nodeEntry
	if err := decodeRecord(data, &e); err != nil {
		return e, err
	}
	if e.Calls != nodeAddr {
		return e, errors.New("entry is stored under another address")
	}
	if err := checkNodeAddress("address", e.Calls); err != nil {
		return e, err
	}
	for _, f := range []struct{ name, value string }{
		{"address of the feed", e.Control}, {"address for operators", e.Operators},
	} {
		if f.value == "" {
			continue
		}
		if err := checkNodeAddress(f.name, f.value); err != nil {
			return e, err
		}
	}
	for _, f := range []struct{ name, value string }{
		{"failure domain", e.Domain},
		{"service", e.Service},
		{"server", e.Server},
		{"version", e.Version},
		{"departed server", e.Unseen},
	} {
		if err := checkName(f.name, f.value); err != nil {
			return e, err
		}
	}
	latest := now.Add(maxClockLead)
	for _, f := range []struct {
		name       string
		value, max int64
	}{
		{"link", int64(e.Link), maxLinkMegabits},
		{"slots", int64(e.Slots), maxSlots},
		{"cold time", e.ColdMS, maxColdTime.Milliseconds()},
		{"sequence", e.Sequence, maxOffset},
		{"start of the server", e.Born, latest.UnixMilli()},
		{"start of the departed server", e.UnseenBorn, latest.UnixMilli()},
		{"start of the version", e.Since, latest.UnixMilli()},
		{"start of the node", e.Started, latest.UnixNano()},
		{"number", e.Written, maxOffset},
	} {
		if f.value < 0 || f.value > f.max {
			return e, fmt.Errorf("%s %d is out of range", f.name, f.value)
		}
	}
	if e.Since < now.AddDate(-maxAgeYears, 0, 0).UnixMilli() {
		e.Since = 0
	}
	return e, nil
}

// decodeMove decodes and validates the state of a service's move.
func decodeMove(service string, data []byte) (shift.Record, error) {
	var r shift.Record
	if err := decodeRecord(data, &r); err != nil {
		return r, err
	}
	for _, f := range []struct{ name, value string }{
		{"service", service}, {"previous version", r.From}, {"target version", r.Target},
	} {
		if f.value == "" {
			return r, fmt.Errorf("%s is missing", f.name)
		}
		if err := checkName(f.name, f.value); err != nil {
			return r, err
		}
	}
	switch {
	case !r.Phase.Valid():
		return r, fmt.Errorf("phase %q is unknown", r.Phase)
	case r.Order < 0 || r.Order > maxOffset:
		return r, fmt.Errorf("order %d is out of range", r.Order)
	case r.Era < 0 || r.Era > shunt.MaxEra || r.AgainEra < 0 || r.AgainEra > shunt.MaxEra ||
		r.Again < 0 || r.Again > maxOffset:
		return r, fmt.Errorf("era %d of the order, or its position %d of era %d, is out of range",
			r.Era, r.Again, r.AgainEra)
	case r.Elapsed < 0 || r.Elapsed > maxOrderAge.Milliseconds():
		return r, fmt.Errorf("age of the order, %d ms, is out of range", r.Elapsed)
	case len(r.Why) > maxReasonLength:
		return r, errors.New("reason is too long")
	}
	return r, nil
}

func decodeRecord(data []byte, into any) error {
	if len(data) > maxMeshRecordBytes {
		return fmt.Errorf("record has %d bytes, at most %d are read", len(data), maxMeshRecordBytes)
	}
	if data = bytes.TrimSpace(data); len(data) == 0 || data[0] != '{' {
		return errors.New("record is not a JSON object")
	}
	if err := checkNesting(data); err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// checkNesting returns an error for a JSON value that is nested more deeply than any record of a node.
func checkNesting(data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	for depth := 0; ; {
		token, err := decoder.Token()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case token == json.Delim('{') || token == json.Delim('['):
			if depth++; depth > maxNesting {
				return fmt.Errorf("record is nested more than %d deep", maxNesting)
			}
		case token == json.Delim('}') || token == json.Delim(']'):
			depth--
		}
	}
}

// checkNodeAddress returns an error unless a text is the IPv4 address and port of a single instance.
func checkNodeAddress(name, text string) error {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if !a.Addr().Is4() || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() ||
		a.Addr() == netip.AddrFrom4([4]byte{255, 255, 255, 255}) {
		return fmt.Errorf("%s %q is not that of an instance", name, text)
	}
	return nil
}

// checkName returns an error for a text that cannot be sent in a header.
func checkName(name, text string) error {
	if len(text) > maxNameLength || strings.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' }) {
		return fmt.Errorf("%s %.40q is not a name", name, text)
	}
	return nil
}
