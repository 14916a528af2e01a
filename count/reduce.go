package count

import (
	"fmt"
	"maps"

	"github.com/apex/log"

	"tanagershunt.example/shunt"
)

// Checkpoint returns the collector's durable state. Entries up to its offset may be truncated.
func (c *Collector) Checkpoint() Checkpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := Checkpoint{
		Schema: Schema, Domain: c.domain, Offset: c.offset,
		Base: sortedCells(c.durable.base), Folded: maps.Clone(c.durable.folded),
		Ended: append([]NodeInfo(nil), c.durable.ended...),
	}
	for k, in := range c.durable.unfolded {
		p.Live = append(p.Live, in.report(k))
	}
	return p
}

// Restore replaces the durable state with a newer checkpoint; an older one is ignored. Recover then continues
// from the checkpoint's offset.
func (c *Collector) Restore(p Checkpoint) error {
	if p.Schema > Schema || p.Domain != c.domain {
		return fmt.Errorf("checkpoint of %q with schema %d is not for %q with schema %d",
			p.Domain, p.Schema, c.domain, Schema)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p.Offset <= c.offset {
		return nil
	}
	s := CounterSet{base: make(map[Key]*Values), folded: maps.Clone(p.Folded), ended: p.Ended}
	if s.folded == nil {
		s.folded = make(map[string]uint64)
	}
	for i := range p.Base {
		addTo(s.base, p.Base[i].Key, &p.Base[i].Values)
	}
	for _, r := range p.Live {
		s.Merge(r)
	}
	c.durable, c.offset = s, p.Offset
	return nil
}

// reduce applies entries of the counts stream in order.
func (c *Collector) reduce(entries []shunt.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range entries {
		c.offset = entry.Offset
		e, err := Decode(entry.Data)
		if err != nil {
			log.WithError(err).WithField("offset", entry.Offset).Error("skipped undecodable entry of counts stream")
			continue
		}
		if e.Domain != c.domain {
			continue
		}
		for _, r := range e.Reports {
			c.durable.Merge(r)
		}
	}
	for k, in := range c.unconfirmed {
		if c.durable.covers(k, in) {
			delete(c.unconfirmed, k)
		}
	}
	for k := range c.toFold {
		if k.Incarnation <= c.durable.folded[k.Node] {
			delete(c.toFold, k)
		}
	}
}

// covers reports whether the set already contains all staged data of an incarnation, so that the staged copy can be
// dropped.
func (s *CounterSet) covers(k NodeKey, unconfirmed *incarnation) bool {
	if k.Incarnation <= s.folded[k.Node] {
		return true
	}
	in := s.unfolded[k]
	if in == nil {
		return false
	}
	updated := incarnation{info: in.info}
	if r := (Report{
		Domain: unconfirmed.info.Domain, At: unconfirmed.info.HeardAt,
		Last: unconfirmed.info.Last, EndedAt: unconfirmed.info.EndedAt,
	}); updated.mergeInfo(&r) {
		return false
	}
	for key, v := range unconfirmed.cells {
		if known := in.cells[key]; known == nil || Max(*known, *v) != *known {
			return false
		}
	}
	return true
}

// report returns all data of an incarnation as one report.
func (in *incarnation) report(k NodeKey) Report {
	return Report{
		NodeKey: k, Domain: in.info.Domain, At: in.info.HeardAt, Rate: in.info.Rate,
		Last: in.info.Last, EndedAt: in.info.EndedAt, Cells: sortedCells(in.cells),
	}
}
