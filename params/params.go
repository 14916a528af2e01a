// Package params reads and validates the JSON settings of the programs.
package params

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"
	"time"
)

// Defaults of Node.
const (
	DefaultStopTimeout = 30 * time.Second
	DefaultNotice      = 5 * time.Second
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

type (
	// Node holds the settings of tsnode.
	Node struct {
		Domain      string    `json:"failureDomain"`
		Region      string    `json:"region"`
		Log         string    `json:"log"` // base URL of the platform's log service
		Listeners   Listeners `json:"listeners"`
		Seeds       []string  `json:"seeds,omitempty"`       // control addresses of other nodes
		Notice      Duration  `json:"notice,omitempty"`      // time between announcing a stop and rejecting new requests
		StopTimeout Duration  `json:"stopTimeout,omitempty"` // maximum duration of a graceful stop, including the notice
		LogLevel    string    `json:"logLevel,omitempty"`
	}

	// Listeners holds the listen addresses of a node, each ip:port.
	Listeners struct {
		Callers   string `json:"callers"`
		Calls     string `json:"calls"`
		Control   string `json:"control"`
		Operators string `json:"operators"`
		Servers   string `json:"servers"`
	}

	// LogService holds the settings of tslogd, the in-memory log service.
	LogService struct {
		Listen      string   `json:"listen"`
		Retention   Duration `json:"retention,omitempty"`
		AppendRate  float64  `json:"appendRate,omitempty"`
		RecordLimit int      `json:"recordLimit,omitempty"`
	}

	// Duration is a time.Duration that is encoded in JSON as a string such as "30s".
	Duration time.Duration

	// FieldError describes an invalid setting and its value.
	FieldError struct {
		Field string
		Value string
		Text  string
	}
)

func (e *FieldError) Error() string {
	return fmt.Sprintf("setting %s: %q %s", e.Field, e.Value, e.Text)
}

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("duration %s is not a string such as \"30s\"", data)
	}
	v, err := time.ParseDuration(text)
	if err != nil || v < 0 {
		return fmt.Errorf("duration %q is not valid", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// LoadNode reads and validates the settings of tsnode.
func LoadNode(path string) (Node, error) {
	var n Node
	if err := load(path, &n); err != nil {
		return Node{}, err
	}
	n.setDefaults()
	return n, n.Check()
}

// LoadLogService reads and validates the settings of tslogd.
func LoadLogService(path string) (LogService, error) {
	var s LogService
	if err := load(path, &s); err != nil {
		return LogService{}, err
	}
	return s, s.Check()
}

// Check returns a *FieldError for the first invalid setting.
func (n Node) Check() error {
	if err := checkName("failureDomain", n.Domain); err != nil {
		return err
	}
	if err := checkName("region", n.Region); err != nil {
		return err
	}
	if u, err := url.Parse(n.Log); err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return &FieldError{"log", n.Log, "is not an http or https URL"}
	}
	if err := n.Listeners.check(); err != nil {
		return err
	}
	for i, seed := range n.Seeds {
		if err := checkAddress(fmt.Sprintf("seeds[%d]", i), seed); err != nil {
			return err
		}
	}
	if n.StopTimeout <= n.Notice {
		return &FieldError{"stopTimeout", time.Duration(n.StopTimeout).String(), "is not longer than notice"}
	}
	switch n.LogLevel {
	case "", "debug", "info", "warn", "error":
		return nil
	default:
		return &FieldError{"logLevel", n.LogLevel, "is not one of debug, info, warn, error"}
	}
}

// Check returns a *FieldError for the first invalid setting.
func (s LogService) Check() error {
	if s.AppendRate < 0 {
		return &FieldError{"appendRate", fmt.Sprint(s.AppendRate), "is negative"}
	}
	if s.RecordLimit < 0 {
		return &FieldError{"recordLimit", fmt.Sprint(s.RecordLimit), "is negative"}
	}
	return checkAddress("listen", s.Listen)
}

func (n *Node) setDefaults() {
	if n.Notice == 0 {
		n.Notice = Duration(DefaultNotice)
	}
	if n.StopTimeout == 0 {
		n.StopTimeout = Duration(DefaultStopTimeout)
	}
}

func (l Listeners) check() error {
	fields := make(map[string]string)
	for _, f := range []struct{ field, value string }{
		{"callers", l.Callers},
		{"calls", l.Calls},
		{"control", l.Control},
		{"operators", l.Operators},
		{"servers", l.Servers},
	} {
		field := "listeners." + f.field
		if err := checkAddress(field, f.value); err != nil {
			return err
		}
		if other, ok := fields[f.value]; ok && !strings.HasSuffix(f.value, ":0") {
			return &FieldError{field, f.value, "is already used by " + other}
		}
		fields[f.value] = field
	}
	return nil
}

func checkName(field, value string) error {
	if !namePattern.MatchString(value) {
		return &FieldError{field, value, "does not match " + namePattern.String()}
	}
	return nil
}

func checkAddress(field, value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return &FieldError{field, value, "is not ip:port"}
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return &FieldError{field, value, "has no IP number as its host"}
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &FieldError{field, value, "has no valid port"}
	}
	return nil
}

func load(path string, settings any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(settings); err != nil {
		return fmt.Errorf("settings %q: %w", path, describeTypeError(err))
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("settings %q: text after the end of the object", path)
	}
	if err := checkDuplicates(data); err != nil {
		return fmt.Errorf("settings %q: %w", path, err)
	}
	return nil
}

// describeTypeError converts a type error of encoding/json to a *FieldError and returns other errors unchanged.
func describeTypeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return &FieldError{typeErr.Field, typeErr.Value, "is not of type " + typeErr.Type.String()}
	}
	return err
}
