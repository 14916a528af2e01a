package spill

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// The own domain is short from shortUsed requests per slot on, or from a share of shortMissed refused requests on, late
	// ones included if it has busyServer requests per slot. It is relieved below relievedUsed and relievedMissed. Between
	// them the rates stay as they are: without this gap, requests that leave relieve the domain, return at once and make it
	// short again.
	shortUsed, relievedUsed     = 0.95, 0.75
	shortMissed, relievedMissed = 0.2, 0.1
	// usableLoad is the load per slot up to which another domain is filled. The rest is left to its own callers, whose
	// load varies within the age of the reports.
	usableLoad = 0.95
	// From a share of fullRefused refused requests on, another domain is taken to lack refusedRoom of its slots. A smaller
	// share may come from single full servers while the domain has room.
	fullRefused, refusedRoom = 0.5, 0.1
	// riseGain is the share of the other domain's room that all senders together begin to use in a second. Reports up to
	// 1 s old make the loop unstable above pi/2, and let it overshoot above 1/e.
	riseGain = 0.8
	// startShare is the share of the room with which all senders together begin, once their domain is short and the room is
	// known.
	startShare = 0.4
	// failedGain and failedUsable replace riseGain and usableLoad for requests that no server of the own domain can run.
	failedGain, failedUsable = 1.0, 1.0
	// assumedLoad is the load per slot that is assumed for them of a domain without recent reports.
	assumedLoad = 0.5
	// probeShare is the share of the other domain's slots that all senders together may use to learn its load.
	probeShare = 0.05
	// maxProbeRate bounds the requests per second with which one sender learns a domain's load.
	maxProbeRate = 2
	// fallFactor is how much faster a rate falls when the other domain is fuller than usableLoad than it rises with as much
	// room.
	fallFactor = 4
	// reliefHalfLife is the time in which a rate falls by half when the own domain is relieved.
	reliefHalfLife = 400 * time.Millisecond
	// burst is the time whose requests may leave at once.
	burst = 500 * time.Millisecond
	// minRate is the rate per second below which a falling rate is 0.
	minRate = 0.05
	// valueWindow is the number of recent requests among which those with the highest value per kilobyte leave.
	valueWindow = 64
	// thresholdInterval is the time between two updates of the minimum value.
	thresholdInterval = 250 * time.Millisecond
	// shareMargin raises the share of requests that are valuable enough above the one that the rates allow, because not
	// all of them gain by leaving.
	shareMargin = 1.5
	// headerBytes is the size of the headers of a request and its answer between nodes.
	headerBytes = 900
	kilobyte    = 1024
)

type (
	// service is the state of a service.
	service struct {
		name    string
		home    load
		domains map[string]*target
		stepAt  time.Time

		requests    mean // per second
		counted     int  // requests since thresholdAt
		values      [valueWindow]float64
		nextValue   int
		seen        int
		minValue    float64
		share       float64
		thresholdAt time.Time
	}

	// target is the state of a service at another domain.
	target struct {
		load
		rate, tokens float64 // of requests while the own domain is short
		part         float64 // slots for requests that no server of the own domain can run
		inFlight     int
		limited      bool // a request was held back because of the part, and none since could leave
		wasKnown     bool // the load at the last step, while the own domain was short
		state        State
		reported     State
		reportedAt   time.Time
	}
)

// valuePerKilobyte returns the value of a request by its size. The value of an answer in time is 1 at priority 0.
func valuePerKilobyte(r Request) float64 {
	return kilobyte / float64((1+r.Priority)*(r.Bytes+headerBytes))
}

func (s *service) domain(name string) *target {
	d := s.domains[name]
	if d == nil {
		d = &target{state: Closed, reported: Closed}
		s.domains[name] = d
	}
	return d
}

// count records a request of the sender.
func (s *service) count(value float64) {
	s.values[s.nextValue] = value
	s.nextValue = (s.nextValue + 1) % valueWindow
	s.seen = min(s.seen+1, valueWindow)
	s.counted++
}

// step updates the rates and returns changed decisions.
func (s *service) step(domains []Domain, home string, now time.Time) []Change {
	passed := now.Sub(s.stepAt)
	if passed < stepInterval {
		return nil
	}
	if s.stepAt.IsZero() {
		passed = 0
	}
	s.stepAt = now
	passed = min(passed, maxStep)
	failed := slices.ContainsFunc(domains, func(d Domain) bool { return d.Name == home && d.Slots == 0 })
	short, relieved := s.pressure(now)
	for _, d := range domains {
		if d.Name != home {
			senders := s.senders(domains, d.Name, home, now)
			s.domain(d.Name).step(d, senders, failed, short, relieved, passed, now)
		}
	}
	s.updateThreshold(now)
	var changes []Change
	for _, d := range domains {
		if d.Name == home {
			continue
		}
		t := s.domains[d.Name]
		if t.state == t.reported || now.Sub(t.reportedAt) < changeInterval {
			continue
		}
		t.reported, t.reportedAt = t.state, now
		changes = append(changes, s.change(d.Name, t, now))
	}
	return changes
}

// pressure reports whether the own domain is short or relieved.
func (s *service) pressure(now time.Time) (short, relieved bool) {
	used, known := s.home.used.known(now)
	missed, counted := s.home.missed.known(now)
	if !known {
		used = 0
	}
	if !counted {
		missed = 0
	}
	short = used >= shortUsed || missed >= shortMissed && used >= busyServer || s.home.refuses(shortMissed, now)
	return short, used < relievedUsed && missed < relievedMissed
}

// senders returns the number of nodes that may send requests to a domain: those of the own domain, and of the others that
// are not known to have room.
func (s *service) senders(domains []Domain, to, home string, now time.Time) int {
	n := 0
	for _, d := range domains {
		if d.Name == to {
			continue
		}
		if d.Name != home {
			if used, known := s.domain(d.Name).used.known(now); known && d.Slots > 0 && used < relievedUsed {
				continue
			}
		}
		n += d.Nodes
	}
	return max(n, 1)
}

// step updates what may leave for a domain. Failed is set if no server of the own domain can be used.
func (t *target) step(
	d Domain, senders int, failed, short, relieved bool, passed time.Duration, now time.Time,
) {
	used, known := t.used.known(now)
	t.stepPart(d, senders, failed, used, known, passed)
	room := 0.0 // slots, negative if the domain is too full
	if known {
		room = (usableLoad - used) * float64(d.Slots)
	}
	if t.refuses(fullRefused, now) {
		room = min(room, -refusedRoom*float64(d.Slots))
	}
	// Requests per second of this sender for each slot of the domain that all senders fill.
	unit := 1 / (t.serviceTime().Seconds() * float64(senders))
	probe := min(probeShare*float64(d.Slots)*unit, maxProbeRate)
	switch {
	case d.Slots == 0:
		t.rate, t.state = 0, Closed
	case relieved:
		t.rate *= math.Exp2(-float64(passed) / float64(reliefHalfLife))
		if t.rate < minRate {
			t.rate, t.state = 0, Closed
		}
	case room < 0:
		t.rate = max(t.rate+fallFactor*riseGain*room*unit*passed.Seconds(), 0)
		t.state = Full
	case !known && t.rate > probe:
		t.rate = max(t.rate*math.Exp2(-float64(passed)/float64(reliefHalfLife)), probe)
	case short:
		if known && !t.wasKnown && t.rate <= probe {
			t.rate = startShare * room * unit
		}
		if t.tokens < t.maxTokens() { // a rate that is not used does not rise
			t.rate += riseGain * room * unit * passed.Seconds()
		}
		// Also if the reports do not show what this sender has sent, it uses no more than its part of the domain.
		t.rate = max(min(t.rate, usableLoad*float64(d.Slots)*unit), probe)
		t.state = Open
	}
	t.wasKnown = known && short
	t.tokens = min(t.tokens+t.rate*passed.Seconds(), t.maxTokens())
	if t.rate == 0 {
		t.tokens = 0
	}
	switch {
	case failed && t.part > 0:
		t.state = Open
	case failed && d.Slots > 0:
		t.state = Full
	}
}

// stepPart updates the number of slots for requests that no server of the own domain can run. It rises only while the own
// domain has failed; otherwise it is where it would start then.
func (t *target) stepPart(d Domain, senders int, failed bool, used float64, known bool, passed time.Duration) {
	if !known {
		used = assumedLoad
	}
	room := (failedUsable - used) * float64(d.Slots) / float64(senders)
	switch {
	case !failed:
		t.part = startShare * room
	case room < 0:
		t.part += fallFactor * failedGain * room * passed.Seconds()
	case t.limited && known:
		t.part += failedGain * room * passed.Seconds()
	}
	t.part = min(max(t.part, 0), failedUsable*float64(d.Slots)/float64(senders))
}

// allowsStranded reports whether a request may leave that no server of the own domain can run. One may always be in
// progress, so that a sender with few requests never refuses any.
func (t *target) allowsStranded() bool {
	t.limited = float64(t.inFlight+1) > max(t.part, 1)
	return !t.limited
}

// maxTokens returns the number of requests that may leave at once.
func (t *target) maxTokens() float64 { return max(1, t.rate*burst.Seconds()) }

// updateThreshold sets the minimum value per kilobyte with which a request may leave, so that those with the highest leave
// first.
func (s *service) updateThreshold(now time.Time) {
	passed := now.Sub(s.thresholdAt)
	if passed < thresholdInterval {
		return
	}
	s.requests.observe(float64(s.counted)/passed.Seconds(), time.Second, now)
	s.counted, s.thresholdAt = 0, now
	rate := 0.0
	for _, t := range s.domains {
		rate += t.rate
	}
	s.share = 1
	if s.requests.Value() > 0 {
		s.share = min(rate/s.requests.Value(), 1)
	}
	s.minValue = 0
	if allowed := int(math.Ceil(shareMargin * s.share * float64(s.seen))); allowed < s.seen && allowed > 0 {
		sorted := s.values
		slices.SortFunc(sorted[:s.seen], func(a, b float64) int { return cmp.Compare(b, a) })
		s.minValue = sorted[allowed-1]
	}
}

func (s *service) change(domain string, t *target, now time.Time) Change {
	c := Change{
		Service:    s.name,
		Domain:     domain,
		State:      t.state,
		Rate:       t.rate,
		Share:      s.share,
		MinValue:   s.minValue,
		Part:       t.part,
		Used:       s.home.used.Value(),
		Missed:     s.home.missed.Value(),
		RemoteUsed: t.used.Value(),
		Latency:    t.latency.get(),
	}
	if age, observed := t.used.Age(now); observed {
		c.RemoteAge = age
	}
	return c
}
