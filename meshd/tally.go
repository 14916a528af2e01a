package meshd

import (
	"context"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

// RecordResponse counts a request that the local backend server ran or may have run during a move of its service.
func (m *Mover) RecordResponse(route string, a shift.Answer) {
	report, _ := m.Server.Current()
	order, open := m.View.activeOrder(report.Service)
	if !open {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tally.Position() != order || m.tally.Version != report.Version {
		m.tally = shift.AnswerCounts{Order: order.Offset, Era: order.Era, Version: report.Version}
		m.sentTotal = 0
	}
	m.tally.Add(route, a)
}

// sendTally sends the counts of the local backend server to the nodes that decide on the move, if they have grown since
// the last time.
func (m *Mover) sendTally(ctx context.Context) {
	m.mu.Lock()
	total := m.tally.Total()
	if total == m.sentTotal {
		m.mu.Unlock()
		return
	}
	if m.Others != nil {
		m.tally.Others, m.tally.OthersUnanswered = m.Others()
	}
	m.sent++
	args := TallyArgs{Node: m.Self, Tally: m.tally.Clone()}
	args.Tally.Sent = m.sent
	if m.Started != nil {
		args.Tally.Started = m.Started()
	}
	m.mu.Unlock()
	report, _ := m.Server.Current()
	args.Service = report.Service
	args.Age = m.View.orderAge(args.Service, args.Tally.Position())
	m.View.setTally(args.Service, m.Self, &args.Tally)
	for _, addr := range m.tallyTargets(args.Service, args.Tally.Position()) {
		go m.sendTallyTo(ctx, addr, args)
	}
	m.mu.Lock()
	m.sentTotal = total
	m.mu.Unlock()
}

// sendTallyTo sends the tally to another node.
func (m *Mover) sendTallyTo(ctx context.Context, addr string, args TallyArgs) {
	ctx, cancel := context.WithTimeout(ctx, moveCallTimeout)
	defer cancel()
	if err := m.Peers.Call(ctx, addr, feedService, feedService+".Tally", args, &struct{}{}); err != nil {
		log.WithError(err).WithField("node", addr).Debug("cannot send tally")
	}
}

// sendHalt halts the new version of a move at the nodes of its servers, which refuse its requests from then on. They
// decide as well, so that one that reaches the store can store the decision.
func (m *Mover) sendHalt(ctx context.Context, v moveView) {
	args := HaltArgs{Service: v.order.Service, Order: v.order.Offset, Era: v.order.Era}
	for _, addr := range m.View.controlAddresses(v.order.Service, v.order.Target) {
		go m.sendHaltTo(ctx, addr, args)
	}
}

// sendHaltTo sends a halt to another node.
func (m *Mover) sendHaltTo(ctx context.Context, addr string, args HaltArgs) {
	ctx, cancel := context.WithTimeout(ctx, moveCallTimeout)
	defer cancel()
	if err := m.Peers.Call(ctx, addr, feedService, feedService+".Halt", args, &struct{}{}); err != nil {
		log.WithError(err).WithFields(log.Fields{"node": addr, "service": args.Service}).Warn("cannot send halt")
	}
}

// tallyTargets returns the feed addresses of the first tallyRecipients other nodes in rankedNodes, which are the first
// to decide on a service's move. It returns none if the order is not the current one.
func (m *Mover) tallyTargets(service string, order shunt.Position) []string {
	m.View.mu.RLock()
	o, ok := m.View.orders[service]
	m.View.mu.RUnlock()
	if !ok || !o.Position().Is(order) {
		return nil
	}
	var list []string
	for _, node := range m.rankedNodes(o) {
		if e, ok := m.View.lookupEntry(node); ok && node != m.Self && e.Control != "" {
			list = append(list, e.Control)
		}
		if len(list) == tallyRecipients {
			break
		}
	}
	return list
}
