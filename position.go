package shunt

import "cmp"

// MaxEra bounds the eras that are used: integers up to it are exact in every JSON implementation.
const MaxEra = 1 << 53

// AnyPosition is the position of an unconditional append.
var AnyPosition = Position{Offset: -1}

// Position is a position in a topic of the store. A store that is restored from an older copy begins a new era, in which it
// assigns offsets again, possibly to other records. Offsets are comparable only within one era. Era 0 means that the era is
// unknown: the store sends none, or a node of an earlier version has sent the position.
type Position struct {
	Era    int64
	Offset int64
}

// Compare orders positions by era, then by offset. It returns -1, 0 or 1.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Offset, q.Offset))
}

// SameEra reports whether the positions may be of the same era, which is so if one of the eras is unknown.
func (p Position) SameEra(q Position) bool { return p.Era == q.Era || p.Era == 0 || q.Era == 0 }

// Is reports whether two positions have the same offset and may be of the same era.
func (p Position) Is(q Position) bool { return p.Offset == q.Offset && p.SameEra(q) }

// Position returns the position of the record.
func (k KeyedRecord) Position() Position { return Position{Era: k.Era, Offset: k.Offset} }

// Position returns the position of the order, which identifies its move.
func (o ShiftOrder) Position() Position { return Position{Era: o.Era, Offset: o.Offset} }
