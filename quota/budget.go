// Package quota bounds the memory held by messages whose size is not known in advance.
package quota

import (
	"errors"
	"sync"
)

// ErrExhausted means that the budget is used up and the message must be given up.
var ErrExhausted = errors.New("memory for messages is used up")

type (
	// Budget is the memory, in bytes, that all messages of a process may hold together. When it is used up, the largest
	// message that is still being read is given up, so that messages of the usual size are not affected by an endless
	// one. A nil Budget has no limit.
	Budget struct {
		mu     sync.Mutex
		limit  int64
		used   int64
		shares map[*Share]struct{} // shares that can be evicted
	}

	// Share is the memory of one message. A nil Share belongs to no budget. Its methods are safe for concurrent use.
	Share struct {
		budget *Budget
		size   int64
		evict  func() // ends the read of the message; nil if the message is complete
		lost   bool   // the message must be given up
	}
)

// New returns a budget of a number of bytes. It has no limit if that is not positive.
func New(limit int64) *Budget {
	if limit <= 0 {
		return nil
	}
	return &Budget{limit: limit, shares: make(map[*Share]struct{})}
}

// Open returns an empty share. The caller must release it.
func (b *Budget) Open() *Share {
	if b == nil {
		return nil
	}
	return &Share{budget: b}
}

// Used returns the number of bytes that shares hold.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// BeginRead allows the budget to give up the message: evict is then called once, and Grow fails. EndRead ends this.
func (s *Share) BeginRead(evict func()) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.evict = evict
	s.budget.shares[s] = struct{}{}
}

// EndRead marks the message as complete: it is not given up any more.
func (s *Share) EndRead() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.evict = nil
	delete(s.budget.shares, s)
}

// Err returns ErrExhausted if the message was given up.
func (s *Share) Err() error {
	if s == nil {
		return nil
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.lost {
		return ErrExhausted
	}
	return nil
}

// Grow adds a number of bytes. It returns ErrExhausted if the message must be given up: no larger one is being read.
func (s *Share) Grow(n int64) error {
	if s == nil {
		return nil
	}
	b := s.budget
	b.mu.Lock()
	var evicted []func()
	for !s.lost && b.used+n > b.limit {
		victim := b.largest()
		if victim == nil || victim == s || victim.size <= s.size+n {
			s.lost = true
			break
		}
		evicted = append(evicted, victim.evict)
		victim.lost = true
		victim.drop()
	}
	lost := s.lost
	if !lost {
		s.size += n
		b.used += n
	}
	b.mu.Unlock()
	for _, evict := range evicted {
		evict()
	}
	if lost {
		return ErrExhausted
	}
	return nil
}

// Release returns the memory of the share to the budget. The share can be used again afterwards.
func (s *Share) Release() {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.drop()
	s.lost = false
}

// drop returns the share's memory. The caller must hold the budget's lock.
func (s *Share) drop() {
	s.budget.used -= s.size
	s.size, s.evict = 0, nil
	delete(s.budget.shares, s)
}

// largest returns the largest share that can be evicted. The caller must hold the lock.
func (b *Budget) largest() *Share {
	var largest *Share
	for s := range b.shares {
		if largest == nil || s.size > largest.size {
			largest = s
		}
	}
	return largest
}
