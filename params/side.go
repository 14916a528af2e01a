package params

import (
	"cmp"
	"fmt"
)

// Defaults of Bounds, for settings that leave them out.
const (
	defaultGraceSeconds       = 6
	defaultRetryWindowSeconds = 10
	defaultRetryRatio         = 0.2
	defaultMoveShare          = 0.1
	defaultColdOvershoot      = 1
)

type (
	// Side holds the settings of a node on the platform.
	Side struct {
		Name      string        `json:"name"`
		Region    string        `json:"region"`
		Domain    string        `json:"failureDomain"`
		Service   string        `json:"service"` // of the backend server beside the node
		Server    string        `json:"server"`  // address of the backend server
		Listeners SideListeners `json:"listeners"`
		// FirstStart says that all nodes start now and none has run before.
		FirstStart bool      `json:"firstStart,omitempty"`
		Memory     float64   `json:"memoryMegabytes"`
		Link       float64   `json:"linkMegabits"` // a second
		Store      SideStore `json:"store"`
		Bounds     Bounds    `json:"bounds"`
		LogLevel   string    `json:"logLevel,omitempty"`
	}

	// SideListeners holds the addresses of a node on the platform, each ip:port.
	SideListeners struct {
		Callers   string `json:"callers"`
		Calls     string `json:"calls"`
		Ready     string `json:"ready"`
		Servers   string `json:"servers"`
		Operators string `json:"operators"`
		Control   string `json:"control"` // feed for other nodes
		// CallsAt and ControlAt are the addresses at which other nodes reach the listeners for calls and control, if
		// something stands between.
		CallsAt   string `json:"callsAt,omitempty"`
		ControlAt string `json:"controlAt,omitempty"`
	}

	// SideStore says how the platform's store is reached.
	SideStore struct {
		Address string `json:"address"`
	}

	// Bounds are the promises that the node has to keep.
	Bounds struct {
		Grace       float64 `json:"graceSeconds"` // from the signal to stop to the kill
		RetryWindow float64 `json:"retryWindowSeconds"`
		RetryRatio  float64 `json:"retryRatio"` // repeated sends for each first send of a service, on all nodes
		RetrySlack  float64 `json:"retrySlack"` // repeated sends that are always allowed, on all nodes
		MoveShare   float64 `json:"moveShare"`  // share of a service's requests that a bad version may get
		// ColdOvershoot is how many times its announced rate a cold server may get.
		ColdOvershoot float64 `json:"coldOvershoot"`
		ColdSlack     float64 `json:"coldSlack"` // requests a second that it may get beyond that
	}
)

// LoadSide reads and checks the settings of a node on the platform.
func LoadSide(path string) (Side, error) {
	var s Side
	if err := load(path, &s); err != nil {
		return Side{}, err
	}
	s.fill()
	return s, s.Check()
}

// CallsAddress returns the address at which other nodes reach the listener for calls.
func (l SideListeners) CallsAddress() string { return cmp.Or(l.CallsAt, l.Calls) }

// ControlAddress returns the address at which other nodes reach the listener for control.
func (l SideListeners) ControlAddress() string { return cmp.Or(l.ControlAt, l.Control) }

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
		{"listeners.callsAt", s.Listeners.CallsAddress()},
		{"listeners.controlAt", s.Listeners.ControlAddress()},
		{"store.address", s.Store.Address},
	} {
		if err := checkAddress(f.field, f.value); err != nil {
			return err
		}
	}
	for _, f := range []struct {
		field string
		value float64
	}{
		{"bounds.graceSeconds", s.Bounds.Grace},
		{"bounds.retryWindowSeconds", s.Bounds.RetryWindow},
		{"bounds.retryRatio", s.Bounds.RetryRatio},
		{"bounds.retrySlack", s.Bounds.RetrySlack},
		{"bounds.moveShare", s.Bounds.MoveShare},
		{"bounds.coldOvershoot", s.Bounds.ColdOvershoot},
		{"bounds.coldSlack", s.Bounds.ColdSlack},
		{"memoryMegabytes", s.Memory},
		{"linkMegabits", s.Link},
	} {
		if f.value < 0 {
			return &FieldError{f.field, fmt.Sprint(f.value), "is negative"}
		}
	}
	return nil
}

func (s *Side) fill() {
	for _, d := range []struct {
		field    *float64
		fallback float64
	}{
		{&s.Bounds.Grace, defaultGraceSeconds},
		{&s.Bounds.RetryWindow, defaultRetryWindowSeconds},
		{&s.Bounds.RetryRatio, defaultRetryRatio},
		{&s.Bounds.MoveShare, defaultMoveShare},
		{&s.Bounds.ColdOvershoot, defaultColdOvershoot},
	} {
		if *d.field == 0 {
			*d.field = d.fallback
		}
	}
}
