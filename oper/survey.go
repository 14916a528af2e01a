package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"tanagershunt.example/shunt/opapi"
)

const (
	// surveyConcurrency bounds the nodes that are asked at the same time, and surveyTimeout the wait for each of them.
	// With a third of 300 nodes gone, all are asked within two seconds.
	surveyConcurrency = 48
	surveyTimeout     = 500 * time.Millisecond
)

type (
	// survey is what the nodes of a mesh on the platform say of themselves.
	survey struct {
		Source     string              `json:"source"` // address of the node that listed the others
		Nodes      []opapi.MeshSummary `json:"nodes"`
		Unanswered []unansweredNode    `json:"unanswered"`
		Skipped    []string            `json:"skipped,omitempty"` // nodes that have said that they stop
	}

	// unansweredNode is a node that did not answer, with what the source knows of it.
	unansweredNode struct {
		opapi.MeshEntry
		Reason string `json:"reason"`
	}
)

// listNodes asks the nodes of --node, in turn, for the nodes that they know.
func (c *command) listNodes(ctx context.Context) (source string, entries []opapi.MeshEntry, err error) {
	for _, address := range strings.Split(c.node, ",") {
		client := opapi.NewClient(address, min(c.timeout, 4*surveyTimeout))
		list, askErr := client.MeshNodes(ctx)
		if askErr == nil {
			return address, list.Nodes, nil
		}
		err = errors.Join(err, fmt.Errorf("node %s: %w", address, askErr))
	}
	return "", nil, err
}

// survey asks all nodes that one of the nodes of --node knows.
func (c *command) survey(ctx context.Context) (*survey, error) {
	source, entries, err := c.listNodes(ctx)
	if err != nil {
		return nil, err
	}
	s := &survey{Source: source}
	var mu sync.Mutex
	c.eachNode(ctx, entries, func(e opapi.MeshEntry, client *opapi.Client) {
		summary, err := client.MeshSummary(ctx)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil:
			s.Nodes = append(s.Nodes, summary)
		case e.Stopping:
			s.Skipped = append(s.Skipped, e.Address)
		default:
			s.Unanswered = append(s.Unanswered, unansweredNode{e, err.Error()})
		}
		c.printProgress(fmt.Sprintf("%d of %d nodes answered", len(s.Nodes), len(entries)))
	})
	c.printProgress("")
	slices.SortFunc(s.Nodes, func(a, b opapi.MeshSummary) int { return cmp.Compare(a.Node, b.Node) })
	slices.SortFunc(s.Unanswered, func(a, b unansweredNode) int { return cmp.Compare(a.Address, b.Address) })
	slices.Sort(s.Skipped)
	return s, nil
}

// eachNode calls visit for each node, up to surveyConcurrency at the same time.
func (c *command) eachNode(
	ctx context.Context, entries []opapi.MeshEntry, visit func(opapi.MeshEntry, *opapi.Client),
) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, surveyConcurrency)
	for _, e := range entries {
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
		}
		wg.Go(func() {
			defer func() { <-slots }()
			// Without an address for operators the client fails, and the node counts as one that did not answer.
			visit(e, opapi.NewClient(e.Operators, min(c.timeout, surveyTimeout)))
		})
	}
	wg.Wait()
}

// newestConfiguration returns the newest configuration version in force at any node, and the nodes with an older one.
func (s *survey) newestConfiguration() (newest uint64, behind []opapi.MeshSummary) {
	for _, n := range s.Nodes {
		newest = max(newest, n.Configuration)
	}
	for _, n := range s.Nodes {
		if n.Configuration < newest {
			behind = append(behind, n)
		}
	}
	return newest, behind
}
