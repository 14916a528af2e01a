package side

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/shift"
)

const (
	// topicMesh holds what the nodes tell one another.
	topicMesh = "mesh"

	keyMember = "member/" // + address for calls
	keyMove   = "move/"   // + service

	// urgentPublish bounds how long the word of a leaving server waits for the store before it is acknowledged.
	urgentPublish = 400 * time.Millisecond
	// meshPolls is how often, syncPoll apart, a starting node looks whether the mesh topic was read before it stores its
	// entry without that.
	meshPolls = 15
	// publishBackoff and maxPublishBackoff bound the pause after a record could not be stored.
	publishBackoff    = 250 * time.Millisecond
	maxPublishBackoff = time.Second
)

// Sync keeps a World in step with the store, and tells the other nodes of the server beside this one.
type Sync struct {
	Clock    clockwork.Clock
	Store    shunt.Store
	Operator shunt.Operator
	World    *World
	Server   *Server
	Peers    *peer.Pool // connections to other nodes' feeds
	Self     string     // address of this node for calls
	Control  string     // address of this node's feed
	Link     int        // megabits a second
	Domain   string
	Started  int64
	First    bool // all nodes start now: those of a failure domain should learn of each other before they read on

	// Reach connects to another node.
	Reach func(ctx context.Context, calls string) error

	feed *Feed

	orders, mesh atomic.Bool // whether the topics were read once

	mu      sync.Mutex
	shunned map[string]shunned // feeds that failed, by address
	stopped bool
	changed chan struct{}
	stored  chan struct{} // closed once the current entry is stored
}

// Run follows the store until ctx ends.
func (s *Sync) Run(ctx context.Context) {
	var wg sync.WaitGroup
	nodes := make(chan struct{})
	known := sync.OnceFunc(func() { close(nodes) })
	for _, f := range []*follower{
		{
			sync: s, topic: s.Operator.Orders(), apply: s.applyOrders, behind: s.World.behindConfig,
			synced: func() { s.orders.Store(true) }, after: nodes,
		},
		{
			sync: s, topic: topicMesh, apply: s.applyMesh, behind: s.World.behindMesh, gather: s.First,
			synced: func() {
				s.mesh.Store(true)
				if !s.First {
					known()
				}
			},
			gathered: known,
		},
	} {
		wg.Go(func() { f.run(ctx) })
	}
	wg.Go(func() { s.publishAll(ctx) })
	wg.Go(func() { s.sweeps(ctx) })
	wg.Wait()
}

// Ready reports whether the node knows what it needs to serve.
func (s *Sync) Ready() bool { return s.mesh.Load() && s.World.Table() != nil }

func (s *Sync) applyOrders(records []shunt.Keyed, whole bool) {
	out := make(map[string]bool)
	for _, k := range records {
		order, err := s.Operator.Read(k)
		if err != nil {
			log.WithError(err).WithFields(log.Fields{"key": k.Key, "offset": k.Offset}).Warn("order can't be read")
			continue
		}
		switch order.Kind {
		case shunt.OrderConfig:
			s.World.SetConfig(order.Config)
			s.Server.ConfigChanged()
		case shunt.OrderShift:
			s.World.SetOrder(order.Shift)
		case shunt.OrderEvacuate:
			out[order.Domain] = !order.Dropped
		case shunt.OrderOther:
		}
	}
	if whole {
		s.World.setOutOnly(out)
		return
	}
	for domain, is := range out {
		s.World.SetOut(domain, is)
	}
}

func (s *Sync) applyMesh(records []shunt.Keyed, _ bool) {
	for _, k := range records {
		s.World.read(k.Offset)
		if err := s.applyRecord(k); err != nil {
			log.WithError(err).WithFields(log.Fields{"key": k.Key, "offset": k.Offset}).Warn("record can't be read")
		}
	}
}

func (s *Sync) applyRecord(k shunt.Keyed) error {
	if len(k.Value) == 0 {
		s.applyDropped(k.Key)
		return nil
	}
	if name, ok := strings.CutPrefix(k.Key, keyMember); ok {
		var e entry
		if err := json.Unmarshal(k.Value, &e); err != nil {
			return err
		}
		if e.Calls != name {
			return errors.New("entry is stored under another address")
		}
		s.World.setEntry(e)
		return nil
	}
	if service, ok := strings.CutPrefix(k.Key, keyMove); ok {
		var r shift.Record
		if err := json.Unmarshal(k.Value, &r); err != nil {
			return err
		}
		s.World.setMove(service, r)
		return nil
	}
	return nil
}

// applyDropped takes in that a record was removed. A node that was taken for gone tells of itself again.
func (s *Sync) applyDropped(key string) {
	name, ok := strings.CutPrefix(key, keyMember)
	switch {
	case !ok:
	case name == s.Self:
		s.Publish(false)
	default:
		s.World.forget(name)
	}
}

// Publish has the node's entry stored. With urgent it returns once it is, or after urgentPublish.
func (s *Sync) Publish(urgent bool) {
	s.mu.Lock()
	if s.changed == nil {
		s.changed = make(chan struct{}, 1)
	}
	if s.stored == nil {
		s.stored = make(chan struct{})
	}
	stored, changed := s.stored, s.changed
	s.mu.Unlock()
	select {
	case changed <- struct{}{}:
	default:
	}
	if !urgent {
		return
	}
	select {
	case <-stored:
	case <-s.Clock.After(urgentPublish):
		log.WithField("server", s.entry().Server).Warn("store did not take the entry in time")
	}
}

// Stop tells the other nodes that this one stops.
func (s *Sync) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.Publish(true)
}

func (s *Sync) entry() entry {
	r, _ := s.Server.Current()
	s.mu.Lock()
	stopping := s.stopped
	s.mu.Unlock()
	since := r.Born
	if old, ok := s.World.entryOf(s.Self); ok && old.Service == r.Service && old.Version == r.Version && old.Since > 0 {
		since = min(since, old.Since)
	}
	return entry{
		Calls:    s.Self,
		Control:  s.Control,
		Link:     s.Link,
		Domain:   s.Domain,
		Service:  r.Service,
		Server:   r.ID,
		Born:     r.Born,
		Sequence: r.Sequence,
		Version:  r.Version,
		Since:    since,
		Slots:    r.Slots,
		Leaving:  r.Leaving,
		ColdMS:   s.Server.Cold().Milliseconds(),
		Started:  s.Started,
		Stopping: stopping,
	}
}

// publishAll stores the node's entry whenever it changes.
func (s *Sync) publishAll(ctx context.Context) {
	s.mu.Lock()
	if s.changed == nil {
		s.changed = make(chan struct{}, 1)
	}
	changed := s.changed
	s.mu.Unlock()
	for {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		s.publish(ctx)
	}
}

func (s *Sync) publish(ctx context.Context) {
	backoff := publishBackoff
	s.awaitMesh(ctx)
	for ctx.Err() == nil {
		s.mu.Lock()
		stored := s.stored
		s.stored = nil
		s.mu.Unlock()
		e := s.entry()
		s.World.setEntry(e)
		err := s.put(ctx, e)
		if err == nil {
			if stored != nil {
				close(stored)
			}
			return
		}
		s.mu.Lock()
		if s.stored == nil {
			s.stored = stored
		} else if stored != nil {
			close(stored)
		}
		s.mu.Unlock()
		if backoff == publishBackoff {
			log.WithError(err).WithField("server", e.Server).Warn("entry was not stored, trying on")
		}
		select {
		case <-s.Clock.After(time.Duration((0.5 + rand.Float64()) * float64(backoff))):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxPublishBackoff)
	}
}

// awaitMesh waits for a while until the node knows what its last incarnation told.
func (s *Sync) awaitMesh(ctx context.Context) {
	for range meshPolls {
		if s.mesh.Load() {
			return
		}
		select {
		case <-s.Clock.After(syncPoll):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Sync) put(ctx context.Context, e entry) error {
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	_, err = s.Store.Append(ctx, topicMesh, -1, shunt.Keyed{Key: keyMember + s.Self, Value: data})
	return err
}

// Restore returns what this node's last incarnation told of the server, if the store holds it.
func (s *Sync) Restore() (shunt.ServerReport, bool) {
	e, ok := s.World.entryOf(s.Self)
	if !ok || e.Server == "" {
		return shunt.ServerReport{}, false
	}
	return shunt.ServerReport{
		ID: e.Server, Born: e.Born, Sequence: e.Sequence, Service: e.Service, Domain: e.Domain, Version: e.Version,
		Slots: e.Slots, Leaving: e.Leaving,
	}, true
}
