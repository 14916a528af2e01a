package state

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/pmap"
)

// Hash is the XOR of the SHA-256 sums of a state's entries.
type Hash [sha256.Size]byte

func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// toggle adds an entry to the hash, or removes an entry that the hash includes.
func (h *Hash) toggle(kind string, key, value any) {
	data, err := json.Marshal([]any{kind, key, value})
	if err != nil {
		// All entries were decoded from JSON, so a failure to encode one is a bug.
		panic(fmt.Sprintf("%s entry %v cannot be hashed: %v", kind, key, err))
	}
	sum := sha256.Sum256(data)
	for i := range h {
		h[i] ^= sum[i]
	}
}

func putEntry[K comparable, V any](h *Hash, kind string, m *pmap.Map[K, V], key K, value V) {
	deleteEntry(h, kind, m, key)
	h.toggle(kind, key, value)
	*m = m.Set(key, value)
}

func deleteEntry[K comparable, V any](h *Hash, kind string, m *pmap.Map[K, V], key K) {
	if old, ok := m.Get(key); ok {
		h.toggle(kind, key, old)
		*m = m.Delete(key)
	}
}

func (s *State) putMove(m *MoveStatus) { putEntry(&s.hash, "move", &s.moves, m.Name, m) }

func (s *State) putServiceState(service string, t serviceState) {
	putEntry(&s.hash, "traffic", &s.services, service, t)
}

func (s *State) setObject(o conf.Object) {
	if old, ok := s.set.Get(o.Key()); ok {
		s.hash.toggle("object", o.Key(), old)
	}
	s.hash.toggle("object", o.Key(), o)
	s.set = s.set.With(o)
}

func (s *State) deleteObject(key conf.Key) {
	old, ok := s.set.Get(key)
	if !ok {
		return
	}
	s.hash.toggle("object", key, old)
	s.set = s.set.Without(key)
	deleteEntry(&s.hash, "version", &s.versions, key)
}
