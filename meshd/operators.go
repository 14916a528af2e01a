package meshd

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"github.com/gin-gonic/gin"

	"tanagershunt.example/shunt/opapi"
)

// operatorHandler serves the metrics and the state of the node.
func (n *Node) operatorHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.GET("/metrics", func(c *gin.Context) { n.meter.Set().WritePrometheus(c.Writer) })
	e.GET("/state", func(c *gin.Context) { c.JSON(http.StatusOK, n.state()) })
	e.GET("/v1/summary", func(c *gin.Context) { c.JSON(http.StatusOK, n.summary()) })
	e.GET("/v1/nodes", func(c *gin.Context) { c.JSON(http.StatusOK, opapi.MeshNodes{Nodes: n.view.entries()}) })
	e.GET("/v1/lines", func(c *gin.Context) { n.serveLines(c) })
	return e
}

// serveLines returns the recent log lines that contain one of the texts in the query.
func (n *Node) serveLines(c *gin.Context) {
	texts := c.QueryArray("text")
	if len(texts) == 0 || n.adapter.RecentLines == nil {
		c.JSON(http.StatusBadRequest, opapi.Error{Error: "no text, or the node remembers no lines"})
		return
	}
	lines, since := n.adapter.RecentLines(texts...)
	c.JSON(http.StatusOK, opapi.MeshLines{Node: n.settings.Load().Name, Since: since, Lines: lines})
}

func (n *Node) summary() opapi.MeshSummary {
	settings := n.settings.Load()
	report, usable := n.server.Current()
	load, _ := n.queue.Load()
	s := opapi.MeshSummary{
		Node: settings.Name, Address: settings.Listeners.CallsAddress(), Domain: settings.Domain,
		Service: settings.Service, Ready: n.IsReady(), Stopping: n.stopping.Load(),
		Started: time.Unix(0, n.sync.StartedAt),
		Server: opapi.MeshServer{
			ID: report.ID, Version: report.Version, Usable: usable, Leaving: report.Leaving, Running: load.InFlight,
			Queued: load.Queued, Limit: load.Limit, ColdMS: n.server.ColdRemaining().Milliseconds(),
		},
		Moves: n.view.moveStates(),
	}
	if t := n.view.Table(); t != nil {
		s.Configuration = t.Config().Version
	}
	s.DomainsOut = n.view.domainsOut()
	s.Duties = n.duties.state()
	return s
}

// domainsOut returns the failure domains that the operator has taken out of service, sorted.
func (v *MeshView) domainsOut() []string {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []string
	for domain, out := range v.evacuated {
		if out {
			list = append(list, domain)
		}
	}
	slices.Sort(list)
	return list
}

// moveStates returns the moves of all services, by service.
func (v *MeshView) moveStates() []opapi.MeshMove {
	v.mu.RLock()
	defer v.mu.RUnlock()
	var list []opapi.MeshMove
	for service, m := range v.moves {
		state := opapi.MeshMove{
			Service: service,
			From:    m.From,
			Target:  m.Target,
			Phase:   string(m.Phase),
			Order:   m.Order,
			Era:     m.Era,
			Since:   m.phaseSince,
			Reason:  m.Why,
		}
		for _, t := range v.tallies[service] {
			if !t.Position().Is(m.Position()) || t.Version != m.Target {
				continue
			}
			for _, r := range t.Routes {
				state.Answers += r.Answers
				state.Failures += r.Failures
			}
		}
		list = append(list, state)
	}
	slices.SortFunc(list, func(a, b opapi.MeshMove) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// entries returns the entries of all nodes, by address.
func (v *MeshView) entries() []opapi.MeshEntry {
	v.mu.RLock()
	defer v.mu.RUnlock()
	list := make([]opapi.MeshEntry, 0, len(v.peers))
	for _, p := range v.peers {
		e, _, unreachableSince := p.indexed()
		list = append(list, opapi.MeshEntry{
			Address: e.Calls, Operators: e.Operators, Domain: e.Domain, Service: e.Service, Server: e.Server,
			Version: e.Version, Leaving: e.Leaving, Stopping: e.Stopping, Unreachable: !unreachableSince.IsZero(),
		})
	}
	slices.SortFunc(list, func(a, b opapi.MeshEntry) int { return cmp.Compare(a.Address, b.Address) })
	return list
}

// Duties returns what the node knows of the duties that one node has at a time.
func (n *Node) Duties() []opapi.MeshDuty { return n.duties.state() }
