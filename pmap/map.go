// Package pmap implements a persistent hash map for 10,000 to 100,000 entries. A change copies one shard and shares the
// others with the original map.
package pmap

import (
	"hash/maphash"
	"iter"
	"maps"
)

// shardCount bounds the cost of a change: with 10,000 entries, a change copies about 40 entries and 256 pointers.
// It must be 256, because shardIndex returns a uint8.
const shardCount = 256

type (
	// Map is an immutable map. The zero value is an empty map.
	Map[K comparable, V any] struct {
		shards *[shardCount]*shard[K, V]
		length int
	}

	shard[K comparable, V any] struct {
		entries map[K]V
	}
)

var hashSeed = maphash.MakeSeed()

// Len returns the number of entries.
func (m Map[K, V]) Len() int { return m.length }

// Get returns the value of a key.
func (m Map[K, V]) Get(key K) (V, bool) {
	if m.shards != nil {
		if s := m.shards[shardIndex(key)]; s != nil {
			v, ok := s.entries[key]
			return v, ok
		}
	}
	var zero V
	return zero, false
}

// Set returns a copy of the map in which the key has the given value.
func (m Map[K, V]) Set(key K, value V) Map[K, V] {
	next, changed := m.cloneShard(key)
	before := len(changed)
	changed[key] = value
	next.length += len(changed) - before
	return next
}

// Delete returns a copy of the map without the key, or the map itself if it does not contain the key.
func (m Map[K, V]) Delete(key K) Map[K, V] {
	if _, ok := m.Get(key); !ok {
		return m
	}
	next, changed := m.cloneShard(key)
	delete(changed, key)
	next.length--
	return next
}

// All iterates over the entries in no particular order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for i := range shardCount {
			for k, v := range m.entries(i) {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

// DiffCandidates iterates, without repetition, over all keys whose values may differ between two maps: those in shards
// that the maps do not share. It is cheap if one map was derived from the other.
func DiffCandidates[K comparable, V any](a, b Map[K, V]) iter.Seq[K] {
	return func(yield func(K) bool) {
		for i := range shardCount {
			if a.shardAt(i) == b.shardAt(i) {
				continue
			}
			for k := range a.entries(i) {
				if !yield(k) {
					return
				}
			}
			for k := range b.entries(i) {
				if _, inA := a.entries(i)[k]; !inA && !yield(k) {
					return
				}
			}
		}
	}
}

func (m Map[K, V]) shardAt(i int) *shard[K, V] {
	if m.shards == nil {
		return nil
	}
	return m.shards[i]
}

func (m Map[K, V]) entries(i int) map[K]V {
	if s := m.shardAt(i); s != nil {
		return s.entries
	}
	return nil
}

func (m Map[K, V]) cloneShard(key K) (Map[K, V], map[K]V) {
	next := Map[K, V]{shards: new([shardCount]*shard[K, V]), length: m.length}
	if m.shards != nil {
		*next.shards = *m.shards
	}
	i := shardIndex(key)
	changed := maps.Clone(m.entries(int(i)))
	if changed == nil {
		changed = make(map[K]V)
	}
	next.shards[i] = &shard[K, V]{changed}
	return next, changed
}

func shardIndex[K comparable](key K) uint8 { return uint8(maphash.Comparable(hashSeed, key)) }
