package shunt

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Outcomes of one attempt at a backend server's node.
const (
	// AttemptAnswered means that the backend server answered completely.
	AttemptAnswered AttemptOutcome = iota
	// AttemptNotRun means that the backend server did not run the request and never will.
	AttemptNotRun
	// AttemptUnknown means that the request may or may not have run.
	AttemptUnknown
)

// Kinds of orders.
const (
	OrderOther OrderKind = iota
	OrderConfig
	OrderShift
	OrderEvacuate
)

// States of a move.
const (
	ShiftRunning ShiftState = iota
	ShiftComplete
	ShiftBack
)

// ErrStoreDown means that the store did nothing, because it was not reached or refused the call.
var ErrStoreDown = errors.New("store did nothing")

// ErrStoreConflict means that a conditional append found the topic longer than expected.
var ErrStoreConflict = errors.New("topic has grown since it was read")

type (
	// AttemptOutcome is how one attempt ended.
	AttemptOutcome uint8

	// MeshConfig is one complete, validated configuration of the mesh.
	MeshConfig struct {
		Version  uint64
		Routes   []MeshRoute
		Services map[string]ServiceSpec
		Limits   CallerLimits
	}

	// MeshRoute sends the requests of a host and path prefix to a service, or to several by weight.
	MeshRoute struct {
		Name        string
		Host        string
		Prefix      string // begins and ends with a slash
		Parts       []RoutePart
		Repeatable  bool
		Timeout     time.Duration
		Aim         time.Duration // latency within which an answer has its full value
		MaxAttempts int           // servers that one request may be sent to
		Priority    int           // 0 is the most urgent
	}

	// RoutePart is a service's share of a route.
	RoutePart struct {
		Service string
		Weight  int
	}

	// ServiceSpec is what a configuration says of a service.
	ServiceSpec struct {
		HealthPath     string
		MaxConnections int
		ColdFor        time.Duration // time for which a fresh server bears ColdRate only
		ColdRate       float64       // requests a second
	}

	// CallerLimits bounds what a caller may send. Zero fields are unlimited.
	CallerLimits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// ShiftOrder asks for a service's traffic to be moved to another version.
	ShiftOrder struct {
		Service string
		Target  string
		Within  time.Duration
		Offset  int64 // position of the order in the store, identifies it
	}

	// ServerReport is what a backend server says of itself, or what its node remembers of it.
	ServerReport struct {
		ID       string
		Born     int64 // start of the server in milliseconds since the epoch, 0 when unknown
		Sequence int64
		Service  string
		Address  string
		Domain   string
		Version  string
		Slots    int
		Leaving  bool
		Cold     time.Duration // time for which the server remains slow
	}

	// CallerRequest is what a caller's request says beyond HTTP.
	CallerRequest struct {
		ID       string
		Deadline time.Duration // 0 when the caller names none
	}

	// ServerCall is what a backend server is told beyond the caller's own headers.
	ServerCall struct {
		ID       string
		Deadline time.Duration
		Server   string // identifier of the server that must run it
		Caller   string // service beside which the request entered the mesh
	}

	// ServerAnswer is what the headers of a backend server's answer say.
	ServerAnswer struct {
		ID       string
		Server   string // identifier of the answering server, when it says so
		Signed   bool
		NotRun   bool
		Cold     time.Duration
		HasCold  bool
		LoadSeen bool
		Running  int
		Waiting  int
		Slots    int
	}

	// Order is one decoded record of the operator. Exactly one of the fields that its kind names is set.
	Order struct {
		Kind    OrderKind
		Config  *MeshConfig // OrderConfig
		Shift   ShiftOrder  // OrderShift
		Domain  string      // OrderEvacuate: failure domain
		Dropped bool        // the record was removed
	}

	// OrderKind says what a record of the operator holds.
	OrderKind uint8

	// Operator reads what the operator asks for and writes what it is answered.
	Operator interface {
		// Orders returns the topic of the operator's records.
		Orders() string
		// Read decodes a record.
		Read(k Keyed) (Order, error)
		// Answers returns the topic of the answers.
		Answers() string
		// ShiftAnswer returns the record that tells how a move stands.
		ShiftAnswer(service, target string, s ShiftState) (Keyed, error)
		// Answered reports whether a record of the answers is about the service, and whether it ends the move to
		// the target.
		Answered(k Keyed, service, target string) bool
	}

	// ShiftState is how a move stands, as the operator is told.
	ShiftState uint8

	// Dialect reads and writes the headers that callers and backend servers understand.
	Dialect interface {
		// Caller reads a caller's headers.
		Caller(h http.Header) CallerRequest
		// ToServer sets the headers for a backend server and removes those that only the system may set.
		ToServer(h http.Header, c ServerCall)
		// FromServer reads the headers of a backend server's answer.
		FromServer(status int, h http.Header) ServerAnswer
		// Refuse sets the headers of an answer that the system makes itself.
		Refuse(h http.Header, id string, retryAfter time.Duration)
	}

	// Keyed is one record of a compacted topic.
	Keyed struct {
		Key    string
		Value  []byte // empty when the key was dropped
		Offset int64
	}

	// Store is the platform's store: topics of which the newest record of each key is kept.
	Store interface {
		// Append adds records to a topic. With at >= 0 it does so only if the topic ends there, and returns
		// ErrStoreConflict otherwise. An error that is neither this nor ErrStoreDown leaves the effect unknown.
		Append(ctx context.Context, topic string, at int64, records ...Keyed) (end int64, err error)
		// Newest returns the newest record of each key and the offset from which to follow the topic.
		Newest(ctx context.Context, topic string) (records []Keyed, end int64, err error)
		// Follow waits up to wait for records from an offset on. It returns a *TruncatedError when they are gone.
		Follow(
			ctx context.Context,
			topic string,
			from int64,
			wait time.Duration,
		) (records []Keyed, end int64, err error)
	}
)

func (o AttemptOutcome) String() string {
	switch o {
	case AttemptAnswered:
		return "answered"
	case AttemptNotRun:
		return "not-run"
	case AttemptUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}
