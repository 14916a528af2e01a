package params

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Defaults of Bounds, for settings that leave them out.
const (
	defaultDrain       = 2 * time.Second
	defaultGrace       = 6 * time.Second
	defaultRetryWindow = 10 * time.Second
	defaultRetryRatio  = 0.2
	defaultShiftShare  = 0.1
)

type (
	// Side holds the settings of a node on the platform.
	Side struct {
		Name      string        `json:"name"`
		Region    string        `json:"region"`
		Domain    string        `json:"failureDomain"`
		Service   string        `json:"service"` // of the backend server beside the node
		Server    string        `json:"server"`  // address of the backend server
		Heartbeat int           `json:"heartbeatMillis"`
		Listeners SideListeners `json:"listeners"`
		Memory    int           `json:"memoryMegabytes"`
		Link      float64       `json:"linkMegabits"` // a second
		Store     SideStore     `json:"store"`
		Bounds    Bounds        `json:"bounds"`
		LogLevel  string        `json:"logLevel,omitempty"`
	}

	// SideListeners holds the addresses of a node on the platform, each ip:port.
	SideListeners struct {
		Callers   string `json:"callers"`
		Calls     string `json:"calls"`
		Ready     string `json:"ready"`
		Servers   string `json:"servers"`
		Operators string `json:"operators"`
		Control   string `json:"control"` // feed for other nodes
	}

	// SideStore says how the platform's store is reached and what it takes.
	SideStore struct {
		Address         string  `json:"address"`
		RecordBytes     int     `json:"recordBytes"`
		WritesPerSecond float64 `json:"writesPerSecond"`
	}

	// Bounds are the promises that the node has to keep.
	Bounds struct {
		Drain       time.Duration // from the word that a server leaves to the last request sent to it
		Grace       time.Duration // from the signal to stop to the kill
		RetryWindow time.Duration
		RetryRatio  float64 // repeated sends for each first send of a service, on all nodes
		RetrySlack  float64 // repeated sends that are always allowed, on all nodes
		ShiftShare  float64 // share of a service's requests that a bad version may get
	}
)

// LoadSide reads and checks the settings of a node on the platform.
func LoadSide(path string) (Side, error) {
	var s Side
	if err := load(path, &s); err != nil {
		return Side{}, err
	}
	s.Bounds.fill()
	return s, s.Check()
}

// Check returns a *FieldError for the first setting that can't be used.
func (s Side) Check() error {
	if s.Name == "" {
		return &FieldError{"name", "", "is missing"}
	}
	if err := checkName("failureDomain", s.Domain); err != nil {
		return err
	}
	for _, f := range []struct{ field, value string }{
		{"server", s.Server},
		{"listeners.callers", s.Listeners.Callers},
		{"listeners.calls", s.Listeners.Calls},
		{"listeners.ready", s.Listeners.Ready},
		{"listeners.servers", s.Listeners.Servers},
		{"listeners.operators", s.Listeners.Operators},
		{"listeners.control", s.Listeners.Control},
		{"store.address", s.Store.Address},
	} {
		if err := checkAddress(f.field, f.value); err != nil {
			return err
		}
	}
	return nil
}

// UnmarshalJSON reads bounds from an object, or from a list of texts of the form name=value. Unknown names are
// ignored, since the platform may add some.
func (b *Bounds) UnmarshalJSON(data []byte) error {
	values := make(map[string]string)
	var list []string
	if err := json.Unmarshal(data, &list); err == nil {
		for _, text := range list {
			name, value, _ := strings.Cut(text, "=")
			values[name] = value
		}
		return b.set(values)
	}
	var table map[string]any
	if err := json.Unmarshal(data, &table); err != nil {
		return fmt.Errorf("bounds are neither a list nor an object: %w", err)
	}
	for name, value := range table {
		values[name] = fmt.Sprint(value)
	}
	return b.set(values)
}

func (b *Bounds) set(values map[string]string) error {
	for _, f := range []struct {
		name string
		set  func(float64)
	}{
		{"drain-ms", func(v float64) { b.Drain = time.Duration(v * float64(time.Millisecond)) }},
		{"grace-s", func(v float64) { b.Grace = time.Duration(v * float64(time.Second)) }},
		{"retry-window-s", func(v float64) { b.RetryWindow = time.Duration(v * float64(time.Second)) }},
		{"retry-budget-ratio", func(v float64) { b.RetryRatio = v }},
		{"retry-budget-slack", func(v float64) { b.RetrySlack = v }},
		{"exposure-share", func(v float64) { b.ShiftShare = v }},
	} {
		text, ok := values[f.name]
		if !ok {
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v < 0 {
			return &FieldError{"bounds." + f.name, text, "is not a number of 0 or more"}
		}
		f.set(v)
	}
	return nil
}

func (b *Bounds) fill() {
	for _, d := range []struct {
		field    *time.Duration
		fallback time.Duration
	}{{&b.Drain, defaultDrain}, {&b.Grace, defaultGrace}, {&b.RetryWindow, defaultRetryWindow}} {
		if *d.field == 0 {
			*d.field = d.fallback
		}
	}
	if b.RetryRatio == 0 {
		b.RetryRatio = defaultRetryRatio
	}
	if b.ShiftShare == 0 {
		b.ShiftShare = defaultShiftShare
	}
}
