// Package pmap is an immutable map for snapshots of up to some ten thousand entries. A change copies one
// of its shards and shares the others with the map it came from.
package pmap

import (
	"hash/maphash"
	"iter"
	"maps"
)

// shardCount bounds the cost of a change: at 10,000 entries it copies about 40 of them and 256 pointers.
const shardCount = 256

type (
	// Map is an immutable map. Its zero value is empty and ready to use.
	Map[K comparable, V any] struct {
		shards *[shardCount]*shard[K, V]
		length int
	}

	shard[K comparable, V any] struct {
		entries map[K]V
	}
)

var seed = maphash.MakeSeed()

// Len returns the number of entries.
func (m Map[K, V]) Len() int { return m.length }

// Get returns the value of a key.
func (m Map[K, V]) Get(key K) (V, bool) {
	if m.shards != nil {
		if s := m.shards[position(key)]; s != nil {
			v, ok := s.entries[key]
			return v, ok
		}
	}
	var zero V
	return zero, false
}

// Set returns a map that holds the value under the key.
func (m Map[K, V]) Set(key K, value V) Map[K, V] {
	next, changed := m.copyShard(key)
	before := len(changed)
	changed[key] = value
	next.length += len(changed) - before
	return next
}

// Delete returns a map without the key.
func (m Map[K, V]) Delete(key K) Map[K, V] {
	if _, ok := m.Get(key); !ok {
		return m
	}
	next, changed := m.copyShard(key)
	delete(changed, key)
	next.length--
	return next
}

// All returns the entries in no particular order.
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

// Candidates returns, once each, all keys under which two maps may differ: those in shards that they do not
// share. For maps that come from one another it is cheap.
func Candidates[K comparable, V any](a, b Map[K, V]) iter.Seq[K] {
	return func(yield func(K) bool) {
		for i := range shardCount {
			if a.at(i) == b.at(i) {
				continue
			}
			for k := range a.entries(i) {
				if !yield(k) {
					return
				}
			}
			for k := range b.entries(i) {
				if _, done := a.entries(i)[k]; !done && !yield(k) {
					return
				}
			}
		}
	}
}

func (m Map[K, V]) at(i int) *shard[K, V] {
	if m.shards == nil {
		return nil
	}
	return m.shards[i]
}

func (m Map[K, V]) entries(i int) map[K]V {
	if s := m.at(i); s != nil {
		return s.entries
	}
	return nil
}

func (m Map[K, V]) copyShard(key K) (Map[K, V], map[K]V) {
	next := Map[K, V]{shards: new([shardCount]*shard[K, V]), length: m.length}
	if m.shards != nil {
		*next.shards = *m.shards
	}
	i := position(key)
	changed := maps.Clone(m.entries(int(i)))
	if changed == nil {
		changed = make(map[K]V)
	}
	next.shards[i] = &shard[K, V]{changed}
	return next, changed
}

func position[K comparable](key K) uint8 { return uint8(maphash.Comparable(seed, key)) }
