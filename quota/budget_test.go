package quota_test

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt/quota"
)

// TestLargestIsEvicted guards against an endless message that uses up the memory, so that messages of the usual size
// are given up: of the messages that are still being read only the largest is.
func TestLargestIsEvicted(t *testing.T) {
	b := quota.New(100)
	endless, usual, complete := b.Open(), b.Open(), b.Open()
	evictions := 0
	endless.BeginRead(func() { evictions++ })
	usual.BeginRead(func() { t.Error("message of the usual size was evicted") })
	complete.BeginRead(func() { t.Error("complete message was evicted") })
	for _, step := range []struct {
		share *quota.Share
		bytes int64
	}{{complete, 50}, {endless, 40}} {
		if err := step.share.Grow(step.bytes); err != nil {
			t.Fatal(err)
		}
	}
	complete.EndRead()
	if err := usual.Grow(20); err != nil || evictions != 1 {
		t.Errorf("usual message: %v after %d evictions, want memory after one", err, evictions)
	}
	if err := endless.Grow(1); !errors.Is(err, quota.ErrExhausted) {
		t.Errorf("evicted message: %v, want %v", err, quota.ErrExhausted)
	}
	if err := usual.Grow(31); !errors.Is(err, quota.ErrExhausted) {
		t.Errorf("message beyond the limit: %v, want %v", err, quota.ErrExhausted)
	}
	for _, s := range []*quota.Share{endless, usual, complete} {
		s.Release()
	}
	if got := b.Used(); got != 0 {
		t.Errorf("%d bytes in use after all shares were released, want 0", got)
	}
}

// TestLimit guards against shares that together exceed the limit or do not return their memory, in any order of calls.
func TestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		b := quota.New(limit)
		shares := make([]*quota.Share, 4)
		for i := range shares {
			shares[i] = b.Open()
		}
		for _, op := range rapid.SliceOfN(rapid.IntRange(0, 15), 1, 60).Draw(t, "calls") {
			s := shares[op%len(shares)]
			switch op / len(shares) {
			case 0:
				s.BeginRead(func() {})
			case 1:
				s.EndRead()
			case 2:
				_ = s.Grow(rapid.Int64Range(0, 700).Draw(t, "bytes")) // the result is checked by the sum
			case 3:
				s.Release()
			}
			if used := b.Used(); used < 0 || used > limit {
				t.Fatalf("%d bytes in use, limit %d", used, limit)
			}
		}
		for _, s := range shares {
			s.Release()
		}
		if used := b.Used(); used != 0 {
			t.Fatalf("%d bytes in use at the end, want 0", used)
		}
	})
}

// TestNoLimit guards against a failure without a limit, which is the zero value.
func TestNoLimit(t *testing.T) {
	s := quota.New(0).Open()
	s.BeginRead(func() { t.Error("evicted without a limit") })
	if err := s.Grow(1 << 40); err != nil {
		t.Error(err)
	}
	s.EndRead()
	s.Release()
}
