package meshd

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/params"
	"tanagershunt.example/shunt/place"
	"tanagershunt.example/shunt/spill"
)

type (
	// callSpill is the decision of package spill for one call.
	callSpill struct {
		version  string // for whose servers it was made
		decided  bool
		decision spill.Decision
		held     bool // a node of another failure domain was left out
		stranded bool
	}

	// capacityCount collects the domains of each service and version from the entries.
	capacityCount struct {
		nodes map[string]int // by domain
		slots map[serviceVersion]map[string]int
	}
)

// enableSpillover lets package spill decide which requests leave. It must be called before the node starts.
func (n *Node) enableSpillover(s params.MeshNode) {
	n.view.spillover, n.inbound.ReportTook = true, true
	n.outbound.Spill = &spill.Table{Home: s.Domain, Changed: logSpillover}
	n.outbound.ValuePerKilobyte = s.Spillover.ValuePerKilobyte
}

func logSpillover(c spill.Change) {
	log.WithFields(log.Fields{
		"service":        c.Service,
		"failure_domain": c.Domain,
		"state":          c.State,
		"rate":           c.Rate,
		"part":           c.Part,
		"share":          c.Share,
		"min_value":      c.MinValue,
		"used":           c.Used,
		"missed":         c.Missed,
		"remote_used":    c.RemoteUsed,
		"remote_age":     c.RemoteAge,
		"latency":        c.Latency,
	}).Info("spillover changed")
}

// decideSpillover decides once for each version that the call is sent to.
func (c *call) decideSpillover(version string, now time.Time) {
	o := c.outbound
	if o.Spill == nil || c.spill.decided && c.spill.version == version {
		return
	}
	c.spill = callSpill{version: version, decided: true}
	domains := o.View.index().capacity[serviceVersion{c.service, version}]
	c.spill.decision = o.Spill.Decide(c.service, domains, spill.Request{
		Priority: c.route.Priority, Bytes: len(c.body) + o.stats.expectedResponseBytes(c.route.Name),
	}, now)
}

// mayLeave reports whether the call may be sent to a node of another failure domain, and sets the latency to it. A node
// that was already asked may be asked again. A call of a server always may: without it the run that makes the call fails,
// after it has taken a slot.
func (c *call) mayLeave(p *peerNode, candidate *place.Candidate, asked bool) bool {
	domain := p.domain()
	candidate.Distance = c.spill.decision.Latency(domain)
	if !asked && !c.outbound.stats.isNested(c.route.Name) && !c.spill.decision.Allows(domain) {
		c.spill.held = true
		return false
	}
	return true
}

// strand is called if no node is left for the call. It reports whether nodes of other failure domains may be compared again,
// because some were left out and no server of the own one can run the call.
func (c *call) strand() bool {
	if !c.spill.held || c.spill.stranded {
		return false
	}
	c.spill.stranded, c.spill.decision = true, c.spill.decision.Strand()
	return true
}

// recordLeave records that the call is sent to a failure domain. It returns the reason if it is another one.
func (c *call) recordLeave(domain string) spill.Reason {
	o := c.outbound
	if o.Spill == nil || domain == o.Domain || o.stats.isNested(c.route.Name) {
		return ""
	}
	return c.spill.decision.Leave(domain, c.nodesAsked > 0)
}

// observeSpillover passes the result of an attempt to package spill. Canceled is set if the context of the call has ended.
func (c *call) observeSpillover(
	domain string, left spill.Reason, res *inboundResult, took time.Duration, canceled bool,
) {
	o := c.outbound
	if left != "" {
		c.spill.decision.Done(domain)
		o.Meter.countLeft(domain, left, len(c.body)+len(res.body))
	}
	if !res.responded {
		return
	}
	o.stats.setNested(c.route.Name, res.nested)
	now := o.Clock.Now()
	outcome := spill.Outcome{
		Domain:  domain,
		Refused: res.outcome == shunt.AttemptNotRun && !res.delivered && !res.serverClosed && !canceled,
		Late:    res.outcome == shunt.AttemptAnswered && now.After(c.latencyTargetAt),
	}
	if res.load != nil {
		outcome.Running, outcome.Queued, outcome.Limit = res.load.running, res.load.queued, res.load.limit
		outcome.Work = res.load.latency
	}
	if res.took > 0 && left != "" {
		outcome.Latency = max(took-res.took, 0)
	}
	o.Spill.Observe(c.service, outcome, now)
}

// countLeft counts a request that left the failure domain, and the bytes of its body and answer.
func (m *Meter) countLeft(domain string, reason spill.Reason, size int) {
	labels := `{failure_domain=` + strconv.Quote(domain) + `,reason="` + string(reason) + `"}`
	m.increment(`side_spillover_requests_total` + labels)
	m.add(`side_spillover_bytes_total`+labels, size)
}

// add counts the entry of a node that is not stopping. Servers that cannot be used have no slots, but show that the domain
// runs the service; those that leave do not.
func (c *capacityCount) add(e nodeEntry, reachable, evacuated bool) {
	if c.nodes == nil {
		c.nodes, c.slots = make(map[string]int), make(map[serviceVersion]map[string]int)
	}
	if reachable {
		c.nodes[e.Domain]++
	}
	if e.Service == "" || e.Server == "" || e.Leaving {
		return
	}
	key := serviceVersion{e.Service, e.Version}
	if c.slots[key] == nil {
		c.slots[key] = make(map[string]int)
	}
	slots := e.Slots
	if !reachable || evacuated {
		slots = 0
	}
	c.slots[key][e.Domain] += slots
}

// list returns the domains of each service and version, sorted by name.
func (c *capacityCount) list() map[serviceVersion][]spill.Domain {
	if c.slots == nil {
		return nil
	}
	all := make(map[serviceVersion][]spill.Domain, len(c.slots))
	for key, domains := range c.slots {
		for name, slots := range domains {
			all[key] = append(all[key], spill.Domain{Name: name, Slots: slots, Nodes: c.nodes[name]})
		}
		slices.SortFunc(all[key], func(a, b spill.Domain) int { return cmp.Compare(a.Name, b.Name) })
	}
	return all
}
