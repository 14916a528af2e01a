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

// Map is an immutable map. Its zero value is empty and ready to use.
type Map[K comparable, V any] struct {
	shards *[shardCount]map[K]V
	length int
}

var seed = maphash.MakeSeed()

// Len returns the number of entries.
func (m Map[K, V]) Len() int { return m.length }

// Get returns the value of a key.
func (m Map[K, V]) Get(key K) (V, bool) {
	if m.shards == nil {
		var zero V
		return zero, false
	}
	v, ok := m.shards[shard(key)][key]
	return v, ok
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
		if m.shards == nil {
			return
		}
		for _, s := range m.shards {
			for k, v := range s {
				if !yield(k, v) {
					return
				}
			}
		}
	}
}

func (m Map[K, V]) copyShard(key K) (Map[K, V], map[K]V) {
	next := Map[K, V]{shards: new([shardCount]map[K]V), length: m.length}
	if m.shards != nil {
		*next.shards = *m.shards
	}
	i := shard(key)
	changed := maps.Clone(next.shards[i])
	if changed == nil {
		changed = make(map[K]V)
	}
	next.shards[i] = changed
	return next, changed
}

func shard[K comparable](key K) uint8 { return uint8(maphash.Comparable(seed, key)) }
