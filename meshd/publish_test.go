package meshd

import (
	"context"
	"testing"
	"time"

	"tanagershunt.example/shunt"
)

// slowStore takes its time for each append before it fails or succeeds.
type slowStore struct {
	*fakeStore
	delay time.Duration
}

// Append implements shunt.Store.
func (s *slowStore) Append(ctx context.Context, topic string, at int64, records ...shunt.KeyedRecord) (int64, error) {
	time.Sleep(s.delay)
	return s.fakeStore.Append(ctx, topic, at, records...)
}

// TestStoredWaitsForEntry guards against a leaving server whose report counts as stored although its entry is not: a
// second change is published while the append of the first one is in progress, and that append fails.
func TestStoredWaitsForEntry(t *testing.T) {
	store := newFakeStore()
	storeOrders(t, store, configRecord(1))
	s := testSync(t, store, "10.0.0.1:1")
	s.Store = &slowStore{store, 50 * time.Millisecond}
	runSync(t, s)
	waitFor(t, 2*time.Second, "whole read", s.Ready)
	store.update(func(f *fakeStore) { f.down = true })
	s.Publish(false)
	s.mu.Lock()
	first := s.entryStored
	s.mu.Unlock()
	for range 40 {
		s.Publish(false)
		time.Sleep(20 * time.Millisecond)
	}
	select {
	case <-first:
		t.Fatal("entry counts as stored while the store is down")
	default:
	}
	store.update(func(f *fakeStore) { f.down = false })
	select {
	case <-first:
	case <-time.After(5 * time.Second):
		t.Fatal("entry does not count as stored after the store is back")
	}
}
