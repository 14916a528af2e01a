package meshd

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/duty"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/peer"
	"tanagershunt.example/shunt/usage"
)

const (
	dutyKeyPrefix  = "duty/"  // + name
	usageKeyPrefix = "usage/" // + window

	// dutyPollInterval is how often a node decides about a duty.
	dutyPollInterval = 100 * time.Millisecond
	// rewriteAfter is the time, for each node by rank, after which lost reports are written again if the holder has not.
	rewriteAfter = 2 * time.Second
	// callUnderWay is the time for which bytes of a call may still be sent after its holder's lease: the kernel closes a
	// connection with unacknowledged data after 1 s.
	callUnderWay = time.Second
)

type (
	// dutyRunner runs a node's part in the duty to report usage.
	dutyRunner struct {
		name      string // of the duty
		node      string
		clock     clockwork.Clock
		boot      func() time.Duration
		cloud     shunt.Cloud
		store     shunt.Store
		view      *MeshView
		peers     *peer.Pool
		usage     *usageNode
		meter     *Meter
		self      string
		meshRead  func() bool
		lateness  time.Duration
		spacing   time.Duration // between two calls
		tolerance float64

		seat     *duty.Seat
		ledger   usage.Ledger
		started  time.Time
		bootedAt time.Duration

		asked      time.Time    // when counts were last asked for; of run only
		restoredAt time.Time    // when a new era of the store was seen or reports were written again; of run only
		failed     postFailures // of postLoop only

		topic bool           // whether the topic was read; of run only, like the fields below
		era   int64          // of the store as last read
		end   shunt.Position // end of the mesh topic up to which the records of duties were read
		floor int64          // first window that a holder may settle that does not know what was settled before
	}

	// postFailures counts calls without success.
	postFailures struct {
		count int
		since time.Time
	}
)

// newDutyRunner returns the runner of the duty to report usage, and the counter of usage. Both are nil if the settings do
// not name the duty.
func (n *Node) newDutyRunner(s params.MeshNode, started int64) (*dutyRunner, *usageNode) {
	settings, cloud := s.Duties, n.adapter.Cloud
	if settings == nil || cloud == nil || !hasName(settings.Names, cloud.UsageDuty()) {
		return nil, nil
	}
	boot := n.adapter.BootClock
	if boot == nil {
		boot = BootClock
	}
	self, begin := s.Listeners.CallsAddress(), n.clock.Now()
	u := &usageNode{
		clock: n.clock, windows: usage.Windows{Length: seconds(settings.Window)}, view: n.view, peers: n.sync.Peers,
		meter: n.meter, self: usage.Source{Address: self, Started: started}, domain: s.Domain,
		control: s.Listeners.ControlAddress(),
		time: usage.NewClock(func() (time.Time, time.Duration) {
			now := n.clock.Now()
			return now, now.Sub(begin)
		}),
	}
	kept := u.windows.Kept(seconds(settings.Lateness))
	u.counter.Kept, u.collector.Kept = kept, kept
	rules := duty.Rules{Lease: millis(settings.LeaseMS), Interval: min(u.windows.Length, millis(maxRenewMS))}
	if !settings.Fenced {
		rules.UnderWay = callUnderWay + millis(settings.ThawMS)
	}
	d := &dutyRunner{
		name: cloud.UsageDuty(), node: s.Name, clock: n.clock, boot: boot, cloud: cloud, store: n.adapter.Store,
		view: n.view, peers: n.sync.Peers, usage: u, meter: n.meter, self: self, meshRead: n.sync.meshRead.Load,
		lateness: seconds(settings.Lateness), tolerance: settings.Tolerance,
		spacing: max(minPostSpacing, time.Duration(float64(time.Second)/settings.Calls)),
		started: begin, bootedAt: boot(),
	}
	d.ledger.Kept = kept
	d.seat = duty.NewSeat(duty.Instance{Node: s.Name, Address: self, Started: started}, rules)
	return d, u
}

func hasName(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// storeEra returns the era of the store from which the mesh topic was last read, 0 if the store sends none.
func (d *dutyRunner) storeEra() int64 { return d.view.meshPosition.load().Era }

// now returns the time by the steady clock and the boot clock, since the start of the process.
func (d *dutyRunner) now() duty.Instant {
	return duty.Instant{Steady: d.clock.Since(d.started), Boot: d.boot() - d.bootedAt}
}

// observe takes a record of the mesh topic and reports whether it is one of a duty.
func (d *dutyRunner) observe(k shunt.KeyedRecord) (bool, error) {
	if name, ok := strings.CutPrefix(k.Key, dutyKeyPrefix); ok {
		if name != d.name || len(k.Value) == 0 {
			return true, nil
		}
		return true, d.observeDuty(k.Value)
	}
	text, ok := strings.CutPrefix(k.Key, usageKeyPrefix)
	if !ok {
		return false, nil
	}
	window, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return true, err
	}
	if len(k.Value) == 0 {
		d.ledger.Removed(window)
		return true, nil
	}
	r, err := usage.Decode(window, k.Value)
	if err != nil {
		return true, err
	}
	if !d.ledger.Learn(r) {
		d.meter.increment("side_usage_conflicts_total")
		log.WithField("window", window).Error("settled report differs from the one known; it is ignored")
	}
	return true, nil
}

func (d *dutyRunner) observeDuty(data []byte) error {
	var r duty.Record
	if err := decodeRecord(data, &r); err != nil {
		return err
	}
	if err := r.Check(); err != nil {
		return err
	}
	old, _, wasHolder := d.seat.Known()
	if !d.seat.Observe(r, d.now()) {
		return nil
	}
	d.ledger.AcceptThrough(r.Accepted)
	if r.Token != old.Token || r.Released != old.Released {
		_, _, holds := d.seat.Known()
		log.WithFields(log.Fields{
			"duty": d.name, "holder": r.Node, "address": r.Address, "token": r.Token, "released": r.Released,
			"previous": old.Node, "previous_token": old.Token, "held": wasHolder, "holds": holds,
		}).Info("duty has another record holder or token")
	}
	return nil
}

// run decides about the duty until ctx ends.
func (d *dutyRunner) run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { d.postLoop(ctx) })
	ticker := d.clock.NewTicker(dutyPollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ticker.Chan():
			d.step(ctx)
		case <-ctx.Done():
		}
	}
	wg.Wait()
}

// step makes the next append, if there is one to make.
func (d *dutyRunner) step(ctx context.Context) {
	if !d.meshRead() {
		return
	}
	d.readTopic()
	// The end is taken before the decision: if another record is read meanwhile, the append fails.
	at := d.topicEnd()
	_, pending := d.ledger.Pending(d.usage.time.Now(), d.usage.windows, d.lateness)
	now := d.now()
	action, record := d.seat.Next(now, 0, pending)
	if action == duty.TakeOver {
		// The rank is computed only when it matters: it takes a hash of each node.
		action, record = d.seat.Next(now, duty.Rank(d.name, d.self, d.view.nodeAddresses()), pending)
	}
	if action != duty.None {
		d.append(ctx, at, action, record, nil)
		return
	}
	d.rewrite(ctx)
	d.settle(ctx)
}

// readTopic records that the mesh topic was read, in its era.
func (d *dutyRunner) readTopic() {
	era := d.storeEra()
	first, restored := !d.topic, d.topic && era > d.era
	if first {
		d.topic, d.era, d.floor = true, era, d.usage.windows.At(d.usage.time.Now())
	}
	switch {
	case first:
		d.seat.TopicRead(era, d.now())
	case restored:
		d.storeRestored(era)
	}
}

// storeRestored handles a new era of the store. Reports that are not read from it again are written again. Unless this node
// certainly holds the duty, windows that have ended by now may have been reported by another holder whose records are lost.
func (d *dutyRunner) storeRestored(era int64) {
	certain := d.seat.CertainlyHeld(d.now())
	d.ledger.Restored()
	d.era, d.end, d.restoredAt = era, shunt.Position{}, d.clock.Now()
	if !certain {
		d.floor = d.usage.windows.At(d.usage.time.Now())
	}
	d.seat.TopicRead(era, d.now())
	d.meter.increment("side_duty_eras_total")
	log.WithFields(log.Fields{"duty": d.name, "era": era, "holds": certain, "reports": len(d.ledger.Missing())}).
		Info("store was restored; duty is decided anew")
}

// rewrite writes reports again that the store has lost. The holder does so with its next record; other nodes only if it has
// not, later by their rank.
func (d *dutyRunner) rewrite(ctx context.Context) {
	if _, _, holding := d.seat.Known(); holding || d.restoredAt.IsZero() {
		return
	}
	at, missing := d.topicEnd(), d.ledger.Missing()
	if len(missing) == 0 {
		return
	}
	rank := duty.Rank(d.name, d.self, d.view.nodeAddresses())
	if d.clock.Since(d.restoredAt) < time.Duration(1+rank)*rewriteAfter {
		return
	}
	records := reportRecords(missing)
	end, err := d.store.Append(ctx, topicMesh, at, records...)
	d.restoredAt = d.clock.Now()
	if err != nil {
		log.WithError(err).WithField("reports", len(records)).Info("lost usage reports not written again")
		d.readTail(ctx)
		return
	}
	d.advance(end)
	d.learn(records)
	d.meter.add("side_usage_reports_rewritten_total", len(records))
	log.WithField("reports", len(records)).Info("lost usage reports written again")
}

func reportRecords(reports []usage.Report) []shunt.KeyedRecord {
	records := make([]shunt.KeyedRecord, 0, len(reports))
	for _, r := range reports {
		data, err := r.Encode()
		if err != nil {
			log.WithError(err).WithField("window", r.Window).Error("cannot encode usage report")
			continue
		}
		records = append(records, shunt.KeyedRecord{Key: usageKey(r.Window), Value: data})
	}
	return records
}

// learn takes records that this node has stored.
func (d *dutyRunner) learn(records []shunt.KeyedRecord) {
	for _, k := range records {
		if _, err := d.observe(k); err != nil {
			log.WithError(err).WithField("key", k.Key).Error("own record is not valid")
		}
	}
}

// append stores a record of the duty, and with it the report of a window if there is one. It fails if the topic does not end
// at the given offset, which must have been taken before what was read was looked at.
func (d *dutyRunner) append(
	ctx context.Context, at shunt.Position, action duty.Action, r duty.Record, settled *usage.Report,
) bool {
	known, _, held := d.seat.Known()
	if action == duty.TakeOver && !held && (known.Token == 0 || known.Token.Era() < d.era) {
		// What was settled before is not known. Windows that may have been reported are not reported again.
		r.Settled = max(r.Settled, d.floor-1)
	}
	r.Settled = max(r.Settled, d.ledger.Newest())
	records := reportRecords(d.ledger.Missing())
	if settled != nil {
		r.Settled = max(r.Settled, settled.Window)
		records = append(records, reportRecords([]usage.Report{*settled})...)
		for _, window := range d.ledger.Expired(settled.Window) {
			records = append(records, shunt.KeyedRecord{Key: usageKey(window)})
		}
	}
	r.Accepted = d.ledger.AcceptedThrough(r.Accepted)
	data, err := json.Marshal(r)
	if err != nil {
		log.WithError(err).Error("cannot encode duty record")
		return false
	}
	records = append(records, shunt.KeyedRecord{Key: dutyKeyPrefix + d.name, Value: data})
	d.seat.Sending(r, d.now())
	end, err := d.store.Append(ctx, topicMesh, at, records...)
	d.meter.increment(`side_duty_appends_total{action="` + strings.ReplaceAll(action.String(), " ", "-") + `"}`)
	fields := log.Fields{
		"duty":   d.name,
		"token":  r.Token,
		"term":   r.Term,
		"action": action.String(),
		"at":     at.Offset,
		"era":    at.Era,
	}
	if err != nil {
		d.meter.increment("side_duty_append_failures_total")
		log.WithError(err).WithFields(fields).Info("duty record not stored")
		if errors.Is(err, shunt.ErrStoreConflict) || errors.Is(err, shunt.ErrStoreRestored) {
			d.readTail(ctx)
		}
		return false
	}
	d.advance(end)
	d.learn(records)
	if action == duty.TakeOver || action == duty.Release {
		d.meter.increment("side_duty_changes_total")
		log.WithFields(fields).WithFields(log.Fields{
			"previous": known.Node, "previous_address": known.Address, "previous_token": known.Token,
			"settled": r.Settled, "accepted": r.Accepted,
		}).Info("duty record stored")
	}
	return true
}

func usageKey(window int64) string { return usageKeyPrefix + strconv.FormatInt(window, 10) }

// topicEnd returns the end of the mesh topic up to which this node has read the records of duties.
func (d *dutyRunner) topicEnd() shunt.Position {
	end := d.view.meshPosition.load()
	end.Offset++
	d.advance(end)
	return d.end
}

func (d *dutyRunner) advance(end shunt.Position) {
	if end.Compare(d.end) > 0 {
		d.end = end
	}
}

// readTail reads the records of duties that were appended since this node read the topic. The other records are left to the
// node's follower, which applies them in their order.
func (d *dutyRunner) readTail(ctx context.Context) {
	from := d.topicEnd()
	records, next, err := d.store.Follow(ctx, topicMesh, from, 0)
	if err != nil || next.Compare(from) <= 0 {
		// The history is gone, or the topic is shorter than this node has taken it for.
		records, next, err = d.store.Newest(ctx, topicMesh)
	}
	if err != nil {
		log.WithError(err).WithField("duty", d.name).Warn("cannot read duty records")
		return
	}
	var skipped skippedRecords
	for _, k := range records {
		if _, err := d.observe(k); err != nil {
			skipped.add(k, err)
		}
	}
	skipped.report(topicMesh, d.meter)
	d.end = next
}
