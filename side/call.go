package side

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/proxy"
)

// Headers between nodes, beside those of package proxy.
const (
	// headerServer names the backend server that must run the request.
	headerServer = "Tanager-Server"
	// headerCaller names the service beside which the request entered the mesh.
	headerCaller = "Tanager-Caller"
	// headerTerms holds how the request may wait, as fields separated by slashes: see terms.
	headerTerms = "Tanager-Terms"
	// headerWait is the expected wait in milliseconds, with a refusal.
	headerWait = "Tanager-Wait-Ms"
	// headerHeld says that the request waited before it was refused.
	headerHeld = "Tanager-Held"
	// headerArrived says that the server itself got the request.
	headerArrived = "Tanager-Arrived"
)

// Values of headerServer with a refusal.
const (
	serverClosed = "closed"
	serverMoved  = "moved"
)

const (
	termFields = 4
	loadFields = 5
)

var errTerms = errors.New("terms of the request can't be read")

type (
	// inboundCall is a request for the backend server of a node.
	inboundCall struct {
		method, uri, host string
		header            http.Header // as the caller sent it, without what concerns one connection
		body              func() ([]byte, error)
		id                string
		route             string
		server            string
		caller            string
		left              time.Duration // time until the sender gives up
		known             string        // what the sender knows: see World.known
		terms             terms
	}

	// terms say how a request may wait and what follows when it fails.
	terms struct {
		repeatable bool
		urgency    int
		aim        time.Duration // time left until the answer loses value
		patience   time.Duration // 0 for any
	}

	// inboundResult is what became of a inboundCall.
	inboundResult struct {
		outcome   shunt.AttemptOutcome
		arrived   bool // the server got the request
		connected bool // there was a connection to the node
		reached   bool // the node answered
		status    int
		header    http.Header
		body      []byte
		reason    string
		wait      time.Duration
		load      *loadReport
		known     string
		closed    bool // the server takes no requests whatever the load is
		moved     bool // the service's traffic goes to another version than the server's
		held      bool // the request waited for the server before it was refused
	}
)

func (t terms) format() string {
	flags := ""
	if t.repeatable {
		flags += "r"
	}
	return strings.Join([]string{
		flags, strconv.Itoa(t.urgency), strconv.FormatInt(t.aim.Milliseconds(), 10),
		strconv.FormatInt(t.patience.Milliseconds(), 10),
	}, "/")
}

func parseTerms(text string) (terms, error) {
	parts := strings.Split(text, "/")
	if len(parts) != termFields {
		return terms{}, errTerms
	}
	urgency, err := strconv.Atoi(parts[1])
	if err != nil {
		return terms{}, errTerms
	}
	aim, err := strconv.ParseInt(parts[2], 10, 64)
	if err != nil {
		return terms{}, errTerms
	}
	patience, err := strconv.ParseInt(parts[3], 10, 64)
	if err != nil {
		return terms{}, errTerms
	}
	return terms{
		repeatable: parts[0] == "r", urgency: urgency,
		aim: time.Duration(aim) * time.Millisecond, patience: time.Duration(patience) * time.Millisecond,
	}, nil
}

func (l loadReport) format() string {
	return strings.Join([]string{
		strconv.Itoa(l.running), strconv.Itoa(l.limit), strconv.Itoa(l.queued),
		strconv.FormatInt(l.work.Milliseconds(), 10), strconv.FormatInt(l.cold.Milliseconds(), 10),
	}, "/")
}

func parseLoad(text string) *loadReport {
	parts := strings.Split(text, "/")
	if len(parts) != loadFields {
		return nil
	}
	var n [loadFields]int
	for i, p := range parts {
		v, err := strconv.Atoi(p)
		if err != nil {
			return nil
		}
		n[i] = v
	}
	return &loadReport{
		running: n[0], limit: n[1], queued: n[2],
		work: time.Duration(n[3]) * time.Millisecond, cold: time.Duration(n[4]) * time.Millisecond,
	}
}

// set writes the call's own headers for the way to another node.
func (c *inboundCall) set(h http.Header) {
	h[proxy.HeaderRequestID] = []string{c.id}
	h[proxy.HeaderRoute] = []string{c.route}
	h[proxy.HeaderTimeout] = []string{strconv.FormatInt(c.left.Milliseconds(), 10)}
	h[headerServer] = []string{c.server}
	h[headerCaller] = []string{c.caller}
	h[headerTerms] = []string{c.terms.format()}
	h[proxy.HeaderConfig] = []string{c.known}
}

// readCall reads what set wrote.
func readCall(r *http.Request) (*inboundCall, error) {
	t, err := parseTerms(r.Header.Get(headerTerms))
	if err != nil {
		return nil, err
	}
	left, err := strconv.ParseInt(r.Header.Get(proxy.HeaderTimeout), 10, 64)
	if err != nil {
		return nil, errTerms
	}
	return &inboundCall{
		method: r.Method, uri: r.RequestURI, host: r.Host, header: proxy.Forwardable(r.Header),
		id: r.Header.Get(proxy.HeaderRequestID), route: r.Header.Get(proxy.HeaderRoute),
		server: r.Header.Get(headerServer), caller: r.Header.Get(headerCaller),
		left: time.Duration(left) * time.Millisecond, terms: t, known: r.Header.Get(proxy.HeaderConfig),
	}, nil
}

// set writes the result's own headers for the way back.
func (r *inboundResult) set(h http.Header, id string) {
	h[proxy.HeaderRequestID] = []string{id}
	h[proxy.HeaderOutcome] = []string{r.outcome.String()}
	if r.reason != "" {
		h[proxy.HeaderReason] = []string{r.reason}
	}
	if r.load != nil {
		h[proxy.HeaderLoad] = []string{r.load.format()}
	}
	if r.wait > 0 {
		h[headerWait] = []string{strconv.FormatInt(r.wait.Milliseconds(), 10)}
	}
	if r.arrived {
		h[headerArrived] = []string{"1"}
	}
	if r.held {
		h[headerHeld] = []string{"1"}
	}
	if r.known != "" {
		h[proxy.HeaderConfig] = []string{r.known}
	}
	switch {
	case r.moved:
		h[headerServer] = []string{serverMoved}
	case r.closed:
		h[headerServer] = []string{serverClosed}
	}
}

// readResult reads what set wrote and leaves the server's own headers.
func readResult(status int, h http.Header, body []byte) *inboundResult {
	r := &inboundResult{
		reached: true, status: status, body: body, reason: h.Get(proxy.HeaderReason),
		load: parseLoad(h.Get(proxy.HeaderLoad)), arrived: h.Get(headerArrived) != "",
		held: h.Get(headerHeld) != "", known: h.Get(proxy.HeaderConfig),
	}
	r.moved = h.Get(headerServer) == serverMoved
	r.closed = r.moved || h.Get(headerServer) == serverClosed
	if ms, err := strconv.Atoi(h.Get(headerWait)); err == nil {
		r.wait = time.Duration(ms) * time.Millisecond
	}
	switch h.Get(proxy.HeaderOutcome) {
	case shunt.AttemptAnswered.String():
		r.outcome = shunt.AttemptAnswered
	case shunt.AttemptNotRun.String():
		r.outcome = shunt.AttemptNotRun
	default:
		r.outcome = shunt.AttemptUnknown
	}
	proxy.Strip(h)
	r.header = h
	return r
}

// formatKnown and seeKnown carry World.known between nodes.
func (w *World) formatKnown() string {
	config, mesh := w.known()
	return strconv.FormatUint(config, 10) + "/" + strconv.FormatInt(mesh, 10)
}

func (w *World) seeKnown(text string) {
	left, right, _ := strings.Cut(text, "/")
	config, err := strconv.ParseUint(left, 10, 64)
	if err != nil {
		return
	}
	mesh, err := strconv.ParseInt(right, 10, 64)
	if err != nil {
		return
	}
	w.seen(config, mesh)
}
