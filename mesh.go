package shunt

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"
)

// Outcomes of one attempt to send a request to a server's node.
const (
	// AttemptAnswered means that a complete response of the backend server was received.
	AttemptAnswered AttemptOutcome = iota
	// AttemptNotRun means that the backend server did not execute the request and will not do so later.
	AttemptNotRun
	// AttemptUnknown means that the request may or may not have been executed.
	AttemptUnknown
)

// Outcomes of a call to the cloud.
const (
	// CloudUnknown means that the call may have been executed, or may be executed later.
	CloudUnknown CloudOutcome = iota
	CloudAccepted
	// CloudStaleToken means that the cloud has seen a higher fencing token. The call's token must not be used again.
	CloudStaleToken
	// CloudTooMany means that the cloud gets too many calls and has not executed this one.
	CloudTooMany
	// CloudUnavailable means that the call was not executed and will not be.
	CloudUnavailable
)

// Kinds of operator records. A record of kind RecordOther is ignored.
const (
	RecordOther RecordKind = iota
	RecordConfig
	RecordShift
	RecordEvacuate
)

// States of a move. A move shifts a service's requests from one version to another.
const (
	ShiftRunning ShiftState = iota
	ShiftComplete
	ShiftRolledBack
)

// ErrStoreUnavailable means that nothing was appended or read, because the store was unreachable or rejected the call,
// for instance with status 429 or 507.
var ErrStoreUnavailable = errors.New("store did nothing")

// ErrStoreConflict means that a conditional append failed because the topic has grown.
var ErrStoreConflict = errors.New("topic has grown since it was read")

// ErrInvalidHash means that a text is not a KeyHash.
var ErrInvalidHash = errors.New("hash of a key has the wrong length")

// ErrStoreRestored means that the store was restored after the position of a conditional append was read. The records may
// have been appended after other ones than the writer knows.
var ErrStoreRestored = errors.New("store was restored since the topic was read")

type (
	// AttemptOutcome is the result of one attempt.
	AttemptOutcome uint8

	// MeshConfig is one complete, validated configuration of the mesh.
	MeshConfig struct {
		Version  uint64
		Routes   []MeshRoute
		Services map[string]ServiceSpec
		Limits   CallerLimits
		// Tenants holds the tenants by name. If it is nil, requests need no keys. If it is empty, no key is valid.
		Tenants map[string]TenantSpec
	}

	// TenantSpec is the configuration of a tenant, a customer whose requests carry a key.
	TenantSpec struct {
		Keys     []KeyHash
		Priority int // compares before the priority of a route; 0 is the highest
	}

	// KeyHash identifies a key. Configurations hold no keys, so that none can appear in logs or dumps.
	KeyHash [sha256.Size]byte

	// MeshRoute maps a host and path prefix to one service or to several weighted services.
	MeshRoute struct {
		Name        string
		Host        string
		Prefix      string // begins and ends with a slash
		Parts       []RoutePart
		Repeatable  bool
		Timeout     time.Duration
		Aim         time.Duration // target latency; a slower response has less value
		MaxAttempts int           // number of servers that one request may be sent to
		Priority    int           // 0 is the highest priority
		Public      bool          // requests need no key
	}

	// RoutePart is the weight of one service in a route.
	RoutePart struct {
		Service string
		Weight  int
	}

	// ServiceSpec is the configuration of a service.
	ServiceSpec struct {
		HealthPath     string
		MaxConnections int
		ColdFor        time.Duration // cold start: time for which a new server is limited to ColdRate
		ColdRate       float64       // requests per second
	}

	// CallerLimits limits header and body size, the time to receive a header, and the idle time of callers' connections.
	// A zero field means no limit.
	CallerLimits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// ShiftOrder is the operator's order of a move: the requests of the service move to the target version.
	ShiftOrder struct {
		Service string
		Target  string
		Within  time.Duration // deadline of the move, counted from the order
		Offset  int64         // offset of the record in the store, identifies the move within Era
		Era     int64
	}

	// ServerReport is the state of a backend server, as reported by it or as last recorded by its node.
	ServerReport struct {
		ID       string
		Born     int64 // start time of the server in milliseconds since the epoch, 0 if unknown
		Sequence int64
		Service  string
		Address  string
		Domain   string
		Version  string
		Slots    int
		Leaving  bool
		Cold     time.Duration // remaining time of the cold start
	}

	// CallerRequest holds the mesh's fields of a caller's request headers.
	CallerRequest struct {
		ID       string
		Deadline time.Duration // 0 if the caller set none
	}

	// ServerCall holds the fields that are sent to a backend server in addition to the caller's headers.
	ServerCall struct {
		ID       string
		Deadline time.Duration
		Server   string // identifier of the server that must execute the request
		Caller   string // service of the node at which the request entered the mesh
		Tenant   string // empty for none
		// Tenants reports whether the configuration in force has tenants. The caller's key and tenant are removed then.
		Tenants bool
	}

	// ServerResponse holds the mesh's fields of a backend server's response headers.
	ServerResponse struct {
		ID       string
		Server   string // identifier of the responding server, empty if not in the headers
		Signed   bool   // has a signature header; its value is not verified
		NotRun   bool
		Cold     time.Duration
		HasCold  bool
		LoadSeen bool
		Running  int
		Waiting  int
		Slots    int
		// Pace is how long work takes at the server now, relative to the usual time. It is 0 if the server tells none.
		Pace float64
	}

	// OperatorRecord is one decoded record of the operator. Only the fields of its kind are set.
	OperatorRecord struct {
		Kind    RecordKind
		Config  *MeshConfig // RecordConfig
		Shift   ShiftOrder  // RecordShift
		Domain  string      // RecordEvacuate: failure domain
		Dropped bool        // RecordEvacuate: the record was deleted, so the evacuation has ended
	}

	// RecordKind is the kind of an operator record.
	RecordKind uint8

	// OperatorCodec decodes the operator's records and encodes the status records sent in return.
	OperatorCodec interface {
		// RecordTopic returns the name of the topic with the operator's records.
		RecordTopic() string
		// Decode decodes a record.
		Decode(k KeyedRecord) (OperatorRecord, error)
		// StatusTopic returns the name of the topic for status records.
		StatusTopic() string
		// StatusRecord returns the status record of a move.
		StatusRecord(service, target string, s ShiftState) (KeyedRecord, error)
		// IsFinalStatus reports whether a status record marks the move of the service to the target version as
		// ended.
		IsFinalStatus(k KeyedRecord, service, target string) bool
	}

	// ShiftState is the state of a move, as reported to the operator.
	ShiftState uint8

	// HeaderCodec reads and writes the platform's headers of requests and responses.
	HeaderCodec interface {
		// ParseCaller reads the headers of a caller's request.
		ParseCaller(h http.Header) CallerRequest
		// CallerKey returns the key of a caller's request, or an empty text if it has none or several.
		CallerKey(h http.Header) string
		// RemoveTenant removes the key and the name of a tenant that a caller has sent.
		RemoveTenant(h http.Header)
		// SetServerHeaders sets the mesh's request headers for a backend server and replaces values sent by the caller.
		SetServerHeaders(h http.Header, c ServerCall)
		// ParseServerResponse reads the headers of a backend server's response.
		ParseServerResponse(status int, h http.Header) ServerResponse
		// SetRefusalHeaders sets the headers of a response that the mesh generates itself.
		SetRefusalHeaders(h http.Header, id string, retryAfter time.Duration)
	}

	// CloudOutcome is the result of a call to the cloud.
	CloudOutcome uint8

	// DutyCall identifies the holder of a duty that makes a call.
	DutyCall struct {
		Holder string // name of the node
		Token  uint64
		// Proceed is asked before each write on the connection of the call. If it returns false, the call is not
		// made, or is cut short and not executed.
		Proceed func() bool
	}

	// Cloud is the service of the platform that only one node at a time may call.
	Cloud interface {
		// UsageDuty returns the platform's name of the duty to report usage.
		UsageDuty() string
		// ReportUsage reports the requests of each tenant in a window. Equal counts have equal bytes on the wire.
		ReportUsage(ctx context.Context, c DutyCall, window int64, counts map[string]int64) (CloudOutcome, error)
	}

	// KeyedRecord is one record of a compacted topic.
	KeyedRecord struct {
		Key    string
		Value  []byte // empty if the key was deleted
		Offset int64
		Era    int64 // of the offset
	}

	// Store is the platform's store. It consists of compacted topics, which keep the newest record of each key.
	Store interface {
		// Append adds records to a topic. Unless at is AnyPosition, it does so only if at is the topic's end, and
		// returns ErrStoreConflict otherwise. After an error other than ErrStoreConflict and ErrStoreUnavailable the
		// records may or may not have been appended; ErrStoreRestored is such an error.
		Append(ctx context.Context, topic string, at Position, records ...KeyedRecord) (end Position, err error)
		// Newest returns the newest record of each key and the position at which to start following the topic.
		Newest(ctx context.Context, topic string) (records []KeyedRecord, end Position, err error)
		// Follow returns records starting at a position and waits up to wait for the first one. Next is the position at
		// which to continue. Its era may differ from that of from; the records are then those of the era of next. It
		// returns a *TruncatedError if the position is not retained.
		Follow(
			ctx context.Context,
			topic string,
			from Position,
			wait time.Duration,
		) (records []KeyedRecord, next Position, err error)
	}
)

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText implements encoding.TextMarshaler. The text is hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return ErrInvalidHash
	}
	_, err := hex.Decode(h[:], text)
	return err
}

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

func (o CloudOutcome) String() string {
	switch o {
	case CloudUnknown:
		return "unknown"
	case CloudAccepted:
		return "accepted"
	case CloudStaleToken:
		return "stale-token"
	case CloudTooMany:
		return "too-many"
	case CloudUnavailable:
		return "unavailable"
	default:
		return "invalid"
	}
}
