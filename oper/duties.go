package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"tanagershunt.example/shunt/opapi"
)

// knownDuty is a duty as the nodes know it.
type knownDuty struct {
	opapi.MeshDuty
	Nodes   int      `json:"nodes"`   // that know this holder and token
	Other   int      `json:"other"`   // that know an earlier token, or none
	Holders []string `json:"holders"` // nodes that take themselves for the holder
}

// duties returns each duty by the record with the highest token, with the windows of all nodes. A window counts as accepted
// if any node knows that it was.
func (s *survey) duties() []knownDuty {
	byName := make(map[string]*knownDuty)
	windows := make(map[string]map[int64]opapi.MeshUsageWindow)
	for _, n := range s.Nodes {
		for _, d := range n.Duties {
			k := byName[d.Name]
			if k == nil {
				k = &knownDuty{MeshDuty: d}
				byName[d.Name], windows[d.Name] = k, make(map[int64]opapi.MeshUsageWindow)
			}
			if cmp.Or(cmp.Compare(d.Token, k.Token), cmp.Compare(d.Term, k.Term)) > 0 {
				k.MeshDuty = d
			}
			if d.Holding {
				k.Holders = append(k.Holders, n.Node)
			}
			for _, w := range d.Windows {
				known := windows[d.Name][w.Window]
				w.Accepted, w.Posts = w.Accepted || known.Accepted, w.Posts+known.Posts
				windows[d.Name][w.Window] = w
			}
		}
	}
	list := make([]knownDuty, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		k := byName[name]
		for _, n := range s.Nodes {
			if slices.ContainsFunc(
				n.Duties,
				func(d opapi.MeshDuty) bool { return d.Name == name && d.Token == k.Token },
			) {
				k.Nodes++
			} else {
				k.Other++
			}
		}
		k.Windows = slices.SortedFunc(maps.Values(windows[name]), func(a, b opapi.MeshUsageWindow) int {
			return cmp.Compare(b.Window, a.Window)
		})
		list = append(list, *k)
	}
	return list
}

func (c *command) meshDuties(ctx context.Context) int {
	s, err := c.survey(ctx)
	if err != nil {
		return c.fail(err)
	}
	duties := s.duties()
	if c.json {
		return max(c.printJSON(struct {
			Duties     []knownDuty      `json:"duties"`
			Unanswered []unansweredNode `json:"unanswered"`
		}{duties, s.Unanswered}), s.exitCode())
	}
	for _, d := range duties {
		state := "held by " + cmp.Or(d.Holder, "nobody")
		if d.Released {
			state = "released by " + d.Holder
		}
		fmt.Fprintf(
			c.out,
			"%s: %s (%s) with token %d, era %d, term %d; known so to %d nodes, %d know an earlier token\n",
			d.Name,
			state,
			d.Address,
			d.Token,
			d.Token>>32,
			d.Term,
			d.Nodes,
			d.Other,
		)
		if len(d.Holders) != 1 {
			fmt.Fprintf(c.out, "  nodes that take themselves for the holder: %d %v\n", len(d.Holders), d.Holders)
		}
		w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
		fmt.Fprintln(w, "  WINDOW\tTENANTS\tREQUESTS\tACCEPTED\tCALLS")
		for _, u := range d.Windows {
			fmt.Fprintf(w, "  %d\t%d\t%d\t%v\t%d\n", u.Window, u.Tenants, u.Requests, u.Accepted, u.Posts)
		}
		if err := w.Flush(); err != nil {
			return c.fail(err)
		}
	}
	if len(duties) == 0 {
		fmt.Fprintln(c.out, "no duty is known")
	}
	c.printUnanswered(s)
	return s.exitCode()
}
