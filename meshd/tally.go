package meshd

import (
	"context"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt/shift"
)

// RecordResponse counts a request that the local backend server ran or may have run during a move of its service.
func (m *Mover) RecordResponse(route string, failed bool, latency time.Duration) {
	report, _ := m.Server.Current()
	order, open := m.View.activeOrderOffset(report.Service)
	if !open {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tally.Order != order || m.tally.Version != report.Version {
		m.tally, m.sentTotal = shift.AnswerCounts{Order: order, Version: report.Version}, 0
	}
	m.tally.Add(route, failed, latency)
}

// sendTally sends the counts of the local backend server to the nodes that decide on the move, if they have grown since
// the last time.
func (m *Mover) sendTally(ctx context.Context) {
	now := m.Clock.Now()
	m.mu.Lock()
	total := m.tally.Total()
	if total == m.sentTotal || now.Sub(m.sentAt) < tallyInterval {
		m.mu.Unlock()
		return
	}
	m.sentAt = now
	args := TallyArgs{Node: m.Self, Tally: m.tally.Clone()}
	m.mu.Unlock()
	report, _ := m.Server.Current()
	args.Service = report.Service
	m.View.setTally(args.Service, m.Self, &args.Tally)
	for _, addr := range m.tallyTargets(args.Service, args.Tally.Order) {
		go m.sendTallyTo(ctx, addr, args)
	}
	m.mu.Lock()
	m.sentTotal = total
	m.mu.Unlock()
}

// sendTallyTo sends the tally to another node.
func (m *Mover) sendTallyTo(ctx context.Context, addr string, args TallyArgs) {
	ctx, cancel := context.WithTimeout(ctx, tallyInterval)
	defer cancel()
	if err := m.Peers.Call(ctx, addr, feedService, feedService+".Tally", args, &struct{}{}); err != nil {
		log.WithError(err).WithField("node", addr).Debug("cannot send tally")
	}
}

// tallyTargets returns the feed addresses of the first tallyRecipients other nodes in rankedNodes, which are the first
// to decide on a service's move. It returns none if the order is not the current one.
func (m *Mover) tallyTargets(service string, order int64) []string {
	m.View.mu.RLock()
	o, ok := m.View.orders[service]
	m.View.mu.RUnlock()
	if !ok || o.Offset != order {
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
