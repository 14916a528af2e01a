// Package conf defines the configuration objects that operators publish and validates sets of them.
package conf

import (
	"encoding/json"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
)

// Kinds of objects.
const (
	KindDomain  Kind = "failuredomain"
	KindService Kind = "service"
	KindVersion Kind = "version"
	KindRoute   Kind = "route"
	KindMove    Kind = "move"
)

// States of services and failure domains.
const (
	ServiceOpen    = "open"
	ServiceClosing = "closing"
	DomainIn       = "in"
	DomainOut      = "out"
)

// Limits and defaults of objects.
const (
	MaxCanaryShare     = 0.05             // upper bound and default of maxShare, the share of the second step
	DefaultMinRequests = 300              // requests to the new version required at each share, see ShareSteps
	DefaultHold        = 10 * time.Minute // time after completion in which the move can still be halted
	DefaultMinObserve  = time.Minute      // minimum time at maxShare, see ShareSteps
	DefaultTimeout     = 10 * time.Second // timeout of a route
	MaxPropagationTime = 10 * time.Second // time within which a change takes effect on all nodes
	MaxPrefixBytes     = 1024             // bytes of a route's prefix; bounds the cost of matching long paths
)

type (
	// Kind names a kind of object.
	Kind string

	// Key identifies an object. Its text form is kind/name.
	Key struct {
		Kind Kind
		Name string
	}

	// Object is a named object as published. Spec holds one of *Domain, *Service, *Version, *Route, *Move.
	Object struct {
		Kind Kind
		Name string
		Spec any
	}

	// Domain is the spec of a failure domain.
	Domain struct {
		Region   string `json:"region"`
		State    string `json:"state,omitempty"`
		Override bool   `json:"override,omitempty"` // permits taking out the last domain or a service's last servers
	}

	// Service is the spec of a service.
	Service struct {
		Version string `json:"version"` // version that receives the traffic until a move completes
		State   string `json:"state,omitempty"`
	}

	// Version is the spec of a version of a service.
	Version struct {
		Service string `json:"service"`
	}

	// Route is the spec of a route.
	Route struct {
		Service    string   `json:"service"`
		Prefix     string   `json:"prefix"`
		Methods    []string `json:"methods,omitempty"` // empty means all
		Repeatable bool     `json:"repeatable"`
		Class      string   `json:"class,omitempty"`
		Timeout    Duration `json:"timeout,omitempty"`
	}

	// Move is the spec of a gradual shift of a service's traffic to another version.
	Move struct {
		Service     string    `json:"service"`
		From        string    `json:"from"`
		To          string    `json:"to"`
		Deadline    time.Time `json:"deadline"`
		MaxShare    float64   `json:"maxShare,omitempty"`
		MinRequests int       `json:"minRequests,omitempty"`
		Hold        Duration  `json:"hold,omitempty"`
		MinObserve  Duration  `json:"minObserve,omitempty"`
	}

	// Duration is a time.Duration that is encoded as text in JSON, such as "1m30s".
	Duration time.Duration
)

// New returns an object whose kind is derived from its spec.
func New(name string, spec any) Object { return Object{Kind: kindOf(spec), Name: name, Spec: spec} }

// Key returns the object's key.
func (o Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Contract returns how the route's requests are handled: retries, priority and timeout.
func (r *Route) Contract() shunt.RoutePolicy {
	c := shunt.RoutePolicy{Repeatable: r.Repeatable, Class: shunt.ClassNormal, Timeout: time.Duration(r.Timeout)}
	switch r.Class {
	case "urgent":
		c.Class = shunt.ClassUrgent
	case "background":
		c.Class = shunt.ClassBackground
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	return c
}

// MarshalJSON encodes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON decodes the duration from text.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a string", data)
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("duration %q is not valid", text)
	}
	*d = Duration(v)
	return nil
}

// ShareSteps returns the traffic shares of the new version in the order in which a move steps through them. The first
// one is a fifth of maxShare, so that few requests reach a bad version. It requires a ready server of the new version
// but no evidence. Each later step, and the completion, requires evidence from the current step: RequiredRequests
// requests to warm servers of the new version, a minimum time (ObserveTime at maxShare), no strong evidence against the
// new version, and the counters of all failure domains. A later step also requires servers of the new version with
// enough slots for its share. A move whose new version is found bad is halted at any share.
func (m *Move) ShareSteps() []float64 {
	maxShare := m.MaxShare
	if maxShare == 0 {
		maxShare = MaxCanaryShare
	}
	return []float64{maxShare / 5, maxShare, 0.25, 0.5, 1}
}

func kindOf(spec any) Kind {
	switch spec.(type) {
	case *Domain:
		return KindDomain
	case *Service:
		return KindService
	case *Version:
		return KindVersion
	case *Route:
		return KindRoute
	case *Move:
		return KindMove
	default:
		return ""
	}
}
