package params

import (
	"cmp"
	"fmt"
)

// Defaults for fields of Bounds that are 0 or missing.
const (
	defaultGraceSeconds       = 6
	defaultRetryWindowSeconds = 10
	defaultRetryRatio         = 0.2
	defaultMoveShare          = 0.1
	defaultMoveSlack          = 50
	defaultColdOvershoot      = 1
	// defaultValuePerKilobyte is that of package place.
	defaultValuePerKilobyte = 0.09
)

// Defaults for fields of MeshDuties that are 0 or missing.
const (
	defaultDutyCalls       = 50
	defaultLeaseMS         = 3000
	defaultWindowSeconds   = 5
	defaultTolerance       = 0.05
	defaultLatenessSeconds = 10
	// minLeaseMS leaves time for a call (1 s) after a slow append (0.9 s).
	minLeaseMS = 2000
	// maxDutySeconds bounds the times of MeshDuties.
	maxDutySeconds = 3600
)

type (
	// MeshNode holds the settings of tsmesh.
	MeshNode struct {
		Name      string        `json:"name"`
		Region    string        `json:"region"`
		Domain    string        `json:"failureDomain"`
		Service   string        `json:"service"` // service of the node's backend server
		Server    string        `json:"server"`  // address of the backend server
		Listeners MeshListeners `json:"listeners"`
		// FirstStart means that all nodes of the mesh are being started for the first time. The node then reads the
		// nodes' entries, waits until the others have had time to publish theirs, and reads the entries again. It
		// delays its first read of the operator's records until then, up to a time limit, so that it can read them
		// through another node of its failure domain instead of from the store.
		FirstStart bool    `json:"firstStart,omitempty"`
		Memory     float64 `json:"memoryMegabytes"`
		Link       float64 `json:"linkMegabits"` // per second
		// GCPercent is the growth of the heap, in percent of what is in use, after which the garbage collector runs. A low
		// value takes less memory and more processor time. 0 stands for 150.
		GCPercent int       `json:"gcPercent"`
		Store     MeshStore `json:"store"`
		Admission Admission `json:"admission"`
		Bounds    Bounds    `json:"bounds"`
		Spillover Spillover `json:"spillover"`
		// Duties is nil if no service of the platform is called by one node at a time.
		Duties   *MeshDuties `json:"duties,omitempty"`
		LogLevel string      `json:"logLevel,omitempty"`
	}

	// Admission holds the settings of admission under overload. The zero value is the plain order of requests.
	Admission struct {
		// WorkMargin is the multiple of the expected service time that must fit before a request's latency target for the
		// request to go before late ones; 0 and 1 stand for the expected service time.
		WorkMargin float64 `json:"workMargin"`
		// RecognizeReturns makes the latency target of a caller that comes back after a refusal or a failure count from
		// its first request.
		RecognizeReturns bool `json:"recognizeReturns"`
	}

	// MeshDuties holds the settings of the duties that one node of the mesh has at a time.
	MeshDuties struct {
		Address string   `json:"address"` // of the service that the holder calls
		Names   []string `json:"names"`
		Calls   float64  `json:"callsPerSecond"` // of all nodes together
		// Fenced means that the service rejects calls with a lower token than it has seen.
		Fenced  bool    `json:"fenced"`
		LeaseMS float64 `json:"leaseMs"`
		// ThawMS is the time after the end of a process' suspension in which a call begun before it may still be sent.
		ThawMS float64 `json:"thawMs"`
		// Window is the length of a usage window, and Lateness the time after its end within which its report is due,
		// both in seconds. Tolerance is the share by which its counts may be wrong.
		Window    float64 `json:"usageWindowSeconds"`
		Tolerance float64 `json:"usageTolerance"`
		Lateness  float64 `json:"usageLatenessSeconds"`
	}

	// Spillover holds the settings of requests that leave the failure domain.
	Spillover struct {
		// Enabled lets package spill decide how many requests may leave. Otherwise each request is placed by its own cost.
		Enabled bool `json:"enabled"`
		// ValuePerKilobyte is the cost of a kilobyte sent to another failure domain, relative to the value of a request that
		// is answered in time. It is used only if Enabled is set.
		ValuePerKilobyte float64 `json:"valuePerKilobyte"`
	}

	// MeshListeners holds the listen addresses of a node, each ip:port.
	MeshListeners struct {
		Callers   string `json:"callers"`
		Calls     string `json:"calls"`
		Ready     string `json:"ready"`
		Servers   string `json:"servers"`
		Operators string `json:"operators"`
		Control   string `json:"control"` // serves the records of the store that other nodes read through this node
		// CallsAt and ControlAt are the advertised addresses of the listeners for calls and control, if they differ
		// from the listen addresses, for example behind a proxy.
		CallsAt   string `json:"callsAt,omitempty"`
		ControlAt string `json:"controlAt,omitempty"`
	}

	// MeshStore holds the settings of the connection to the platform's store.
	MeshStore struct {
		Address string `json:"address"`
	}

	// Bounds are the limits that the node must comply with.
	Bounds struct {
		Grace       float64 `json:"graceSeconds"` // seconds from the stop signal to the kill
		RetryWindow float64 `json:"retryWindowSeconds"`
		RetryRatio  float64 `json:"retryRatio"` // retries per first attempt of a service, over all nodes
		RetrySlack  float64 `json:"retrySlack"` // retries that are always allowed, over all nodes
		// MoveShare is the maximum share of a service's requests that a new version receives until the deadline of its
		// move, and MoveSlack the number of requests that are allowed beyond it, both over all nodes.
		MoveShare float64 `json:"moveShare"`
		MoveSlack float64 `json:"moveSlack"`
		// ColdOvershoot is the maximum request rate of a server in its cold start, as a multiple of its cold-start
		// rate.
		ColdOvershoot float64 `json:"coldOvershoot"`
		ColdSlack     float64 `json:"coldSlack"` // additional requests per second allowed beyond ColdOvershoot
	}
)

// LoadMeshNode reads and validates the settings of tsmesh.
func LoadMeshNode(path string) (MeshNode, error) {
	var s MeshNode
	if err := load(path, &s); err != nil {
		return MeshNode{}, err
	}
	s.setDefaults()
	return s, s.Check()
}

// CallsAddress returns the address at which other nodes connect to the listener for calls.
func (l MeshListeners) CallsAddress() string { return cmp.Or(l.CallsAt, l.Calls) }

// ControlAddress returns the address at which other nodes connect to the listener for control.
func (l MeshListeners) ControlAddress() string { return cmp.Or(l.ControlAt, l.Control) }

// Check returns a *FieldError for the first invalid setting.
func (s MeshNode) Check() error {
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
		{"bounds.moveSlack", s.Bounds.MoveSlack},
		{"bounds.coldOvershoot", s.Bounds.ColdOvershoot},
		{"bounds.coldSlack", s.Bounds.ColdSlack},
		{"admission.workMargin", s.Admission.WorkMargin},
		{"spillover.valuePerKilobyte", s.Spillover.ValuePerKilobyte},
		{"memoryMegabytes", s.Memory},
		{"gcPercent", float64(s.GCPercent)},
		{"linkMegabits", s.Link},
	} {
		if f.value < 0 {
			return &FieldError{f.field, fmt.Sprint(f.value), "is negative"}
		}
	}
	if s.Duties != nil {
		return s.Duties.check()
	}
	return nil
}

func (d *MeshDuties) check() error {
	if err := checkAddress("duties.address", d.Address); err != nil {
		return err
	}
	for _, f := range []struct {
		field           string
		value, min, max float64
	}{
		{"duties.callsPerSecond", d.Calls, 0.1, 1e6},
		{"duties.leaseMs", d.LeaseMS, minLeaseMS, maxDutySeconds * 1000},
		{"duties.thawMs", d.ThawMS, 0, maxDutySeconds * 1000},
		{"duties.usageWindowSeconds", d.Window, 1, maxDutySeconds},
		{"duties.usageTolerance", d.Tolerance, 0, 1},
		{"duties.usageLatenessSeconds", d.Lateness, 1, maxDutySeconds},
	} {
		if f.value < f.min || f.value > f.max {
			return &FieldError{f.field, fmt.Sprint(f.value), fmt.Sprintf("is not between %v and %v", f.min, f.max)}
		}
	}
	return nil
}

func (s *MeshNode) setDefaults() {
	type defaultField struct {
		field        *float64
		defaultValue float64
	}
	defaults := []defaultField{
		{&s.Bounds.Grace, defaultGraceSeconds},
		{&s.Bounds.RetryWindow, defaultRetryWindowSeconds},
		{&s.Bounds.RetryRatio, defaultRetryRatio},
		{&s.Bounds.MoveShare, defaultMoveShare},
		{&s.Bounds.MoveSlack, defaultMoveSlack},
		{&s.Bounds.ColdOvershoot, defaultColdOvershoot},
		{&s.Spillover.ValuePerKilobyte, defaultValuePerKilobyte},
	}
	if d := s.Duties; d != nil {
		defaults = append(
			defaults, defaultField{&d.Calls, defaultDutyCalls}, defaultField{&d.LeaseMS, defaultLeaseMS},
			defaultField{&d.Window, defaultWindowSeconds}, defaultField{&d.Tolerance, defaultTolerance},
			defaultField{&d.Lateness, defaultLatenessSeconds},
		)
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.defaultValue
		}
	}
}
