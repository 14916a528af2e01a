package side

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conns"
	"tanagershunt.example/shunt/proxy"
	"tanagershunt.example/shunt/retry"
	"tanagershunt.example/shunt/route"
)

const (
	// noDeadline is the time for a request whose caller names none and whose route has no timeout.
	noDeadline = 30 * time.Second
	// maxBody bounds a request's body whatever the configuration says, since it is held in memory.
	maxBody = 64 << 20
	// surplusBody is how much of a body that is too large is read before its caller is told.
	surplusBody = 4 << 20
	// bodyMemory bounds all bodies that are held at the same time.
	bodyMemory = 96 << 20
	// unready is the time after which a caller may try again at a node that knows no configuration yet.
	unready = 300 * time.Millisecond
	// startHold is the time after a node's start in which requests wait for the configuration: reading it takes less
	// unless the store is away. At most startHoldShare of a caller's time is spent so.
	startHold      = time.Second
	startHoldShare = 0.5
	// retryShare is the part of a caller's time left up to which Retry-After may ask it to wait.
	retryShare = 1.0 / 3
)

type (
	// Outbound takes callers' requests. It is the handler of the listener for callers.
	Outbound struct {
		Clock   clockwork.Clock
		Dialect shunt.Dialect
		World   *World
		Inbound *Inbound
		Self    string // address of this node for calls
		Domain  string
		Service func() string
		Pool    *conns.Pool // connections to other nodes
		Bounds  func() Bounds
		Meter   *Meter
		Lost    *lostNodes
		Started time.Time

		works   workTable
		memory  memory
		budgets budgets
	}

	// Bounds are the limits that a node keeps on behalf of the mesh.
	Bounds struct {
		RetryWindow time.Duration
		RetryRatio  float64
		RetrySlack  float64
		ShiftShare  float64
	}

	// call is one request of a caller.
	call struct {
		out      *Outbound
		id       string
		method   string
		uri      string
		host     string
		header   http.Header
		body     []byte
		route    *route.Entry
		version  uint64 // of the configuration
		service  string
		arrived  time.Time
		deadline time.Time
		leavesAt time.Time // when the caller gives up, which may be after the deadline of this attempt
		aimAt    time.Time
		attempts int // servers that got the request
		nodes    int // nodes that were asked
		maybe    bool
	}

	// memory bounds the bytes held for bodies.
	memory struct {
		mu   sync.Mutex
		held int64
	}

	// budgets bounds the repeated sends of each service.
	budgets struct {
		mu       sync.Mutex
		services map[string]*retry.Window
	}
)

// ServeHTTP implements http.Handler.
func (o *Outbound) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := o.Clock.Now()
	caller := o.Dialect.Caller(r.Header)
	table := o.World.AwaitTable(r.Context(), o.startHold(caller.Deadline))
	if table == nil {
		o.refuse(w, caller.ID, http.StatusServiceUnavailable, "no configuration is known yet", unready)
		return
	}
	entry := table.Match(hostOf(r.Host), r.URL.Path)
	if entry == nil {
		o.refuse(w, caller.ID, http.StatusNotFound, "no route", 0)
		return
	}
	limit := table.Config().Limits.BodyBytes
	if limit <= 0 || limit > maxBody {
		limit = maxBody
	}
	if r.ContentLength > limit {
		o.tooLarge(w, r, caller.ID)
		return
	}
	release, ok := o.memory.take(max(r.ContentLength, 0))
	if !ok {
		o.refuse(w, caller.ID, http.StatusServiceUnavailable, "too much is held for bodies", unready)
		return
	}
	defer release()
	r.Body = http.MaxBytesReader(w, r.Body, limit)
	body, err := readBody(r)
	if err != nil {
		o.unreadable(w, caller.ID, err)
		return
	}
	c := &call{
		out: o, id: caller.ID, method: r.Method, uri: r.RequestURI, host: r.Host, body: body, route: entry,
		header: proxy.Forwardable(r.Header), version: table.Config().Version, service: entry.Service(),
		arrived: arrived,
	}
	delete(c.header, "Expect")
	c.limits(caller.Deadline)
	c.serve(r.Context(), w)
}

// startHold returns the time for which a request may wait for the configuration at a node that has just started.
func (o *Outbound) startHold(deadline time.Duration) time.Duration {
	left := startHold - o.Clock.Since(o.Started)
	if deadline > 0 {
		left = min(left, time.Duration(startHoldShare*float64(deadline)))
	}
	return left
}

func (c *call) limits(deadline time.Duration) {
	limit := c.route.Timeout
	if limit <= 0 {
		limit = noDeadline
	}
	c.leavesAt = c.arrived.Add(limit)
	if deadline > 0 {
		limit = min(limit, deadline)
		c.leavesAt = c.arrived.Add(deadline)
	}
	c.deadline = c.arrived.Add(limit)
	c.aimAt = c.deadline
	if c.route.Aim > 0 && c.route.Aim < limit {
		c.aimAt = c.arrived.Add(c.route.Aim)
	}
}

// serve finds an answer and writes it.
func (c *call) serve(ctx context.Context, w http.ResponseWriter) {
	o := c.out
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	res := c.run(ctx)
	took := o.Clock.Since(c.arrived)
	status := res.status
	switch {
	case res.outcome == shunt.AttemptAnswered:
		answer(w, res)
	case ctx.Err() != nil && errors.Is(context.Cause(ctx), context.Canceled):
		panic(http.ErrAbortHandler)
	case res.outcome == shunt.AttemptNotRun:
		status = http.StatusServiceUnavailable
		o.refuse(w, c.id, status, res.reason, c.retryAfter(res))
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
		o.refuse(w, c.id, status, res.reason, 0)
	default:
		status = http.StatusBadGateway
		o.refuse(w, c.id, status, res.reason, 0)
	}
	o.Meter.request(status, took)
	log.WithFields(log.Fields{
		"request": c.id, "route": c.route.Name, "service": c.service, "config": c.version, "status": status,
		"outcome": res.outcome, "reason": res.reason, "attempts": c.attempts, "nodes": c.nodes, "took": took,
		"left": c.deadline.Sub(o.Clock.Now()), "bytes": len(c.body),
	}).Info("request ended")
}

// retryAfter returns when the caller should come back: about when the backlog that the request met is gone,
// spread so that those who were refused together do not return together.
func (c *call) retryAfter(res *inboundResult) time.Duration {
	left := c.leavesAt.Sub(c.out.Clock.Now())
	most := time.Duration(retryShare * float64(left))
	wait := max(res.wait, c.out.works.expected(c.route.Name)/2)
	wait += time.Duration(rand.Float64() * float64(wait))
	return max(min(wait, most), 0)
}

// answer writes the server's answer.
func answer(w http.ResponseWriter, res *inboundResult) {
	h := w.Header()
	for name, v := range res.header {
		h[name] = v
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if res.status != http.StatusNoContent && res.status != http.StatusNotModified {
		h["Content-Length"] = []string{strconv.Itoa(len(res.body))}
	}
	w.WriteHeader(res.status)
	if _, err := w.Write(res.body); err != nil {
		log.WithError(err).Debug("caller left before its answer")
	}
}

// refuse answers a request that no server answered.
func (o *Outbound) refuse(w http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration) {
	o.Dialect.Refuse(w.Header(), id, retryAfter)
	w.Header()[proxy.HeaderReason] = []string{reason}
	w.WriteHeader(status)
}

// tooLarge answers a request whose body exceeds the limit. Some of the body is read first, since a caller that is
// still sending when the connection closes may not see the answer.
func (o *Outbound) tooLarge(w http.ResponseWriter, r *http.Request, id string) {
	w.Header()["Connection"] = []string{"close"}
	if _, err := io.CopyN(io.Discard, r.Body, surplusBody); err != nil && !errors.Is(err, io.EOF) {
		log.WithError(err).WithField("request", id).Debug("caller left while sending a body that is too large")
	}
	o.refuse(w, id, http.StatusRequestEntityTooLarge, "body exceeds the limit", 0)
}

// unreadable answers a request whose body could not be read.
func (o *Outbound) unreadable(w http.ResponseWriter, id string, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		o.refuse(w, id, http.StatusRequestEntityTooLarge, "body exceeds the limit", 0)
		return
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) {
		panic(http.ErrAbortHandler)
	}
	w.Header()["Connection"] = []string{"close"}
	o.refuse(w, id, http.StatusBadRequest, "body can't be read: "+err.Error(), 0)
}

func (m *memory) take(n int64) (release func(), ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.held+n > bodyMemory {
		return nil, false
	}
	m.held += n
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.held -= n
	}, true
}

// of returns the budget of a service, with this node's part of the bounds that all nodes share.
func (b *budgets) of(service string, clock clockwork.Clock, bounds Bounds, nodes int) *retry.Window {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = make(map[string]*retry.Window)
	}
	w := b.services[service]
	if w == nil {
		w = &retry.Window{Clock: clock}
		b.services[service] = w
	}
	// Windows of others slide over ours, and calls made by repeated requests count as repeats too.
	const margin = 0.75
	w.SetBounds(bounds.RetryWindow, margin*bounds.RetryRatio, margin*bounds.RetrySlack/float64(max(nodes, 1)))
	return w
}

// hostOf returns the host of a Host header without its port.
func hostOf(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
