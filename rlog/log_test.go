package rlog_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/rlog"
)

// TestLogContract guards against an append error that contradicts whether the entry was stored, and against a read that
// hides truncation or an outage. It injects each fault into the in-memory log and into one behind the HTTP client.
func TestLogContract(t *testing.T) {
	cases := []struct {
		name       string
		faults     memlog.Faults
		size       int
		appendErr  error
		stored     int // entries present after the second append, read once the fault is cleared
		readErr    error
		truncateTo shunt.Offset
	}{
		{name: "healthy", stored: 2},
		{
			name:      "down",
			faults:    memlog.Faults{Down: true},
			appendErr: shunt.ErrLogUnavailable,
			readErr:   shunt.ErrLogUnavailable,
			stored:    1,
		},
		{name: "answer lost", faults: memlog.Faults{LoseAnswers: 1}, appendErr: shunt.ErrAppendUnknown, stored: 2},
		{name: "append lost", faults: memlog.Faults{LoseAppends: 1}, appendErr: shunt.ErrAppendUnknown, stored: 1},
		{name: "too large", size: 3000, appendErr: shunt.ErrRecordTooLarge, stored: 1},
		{name: "truncated", truncateTo: 2, stored: 1, readErr: &shunt.TruncatedError{}},
	}
	for _, kind := range []string{"memory", "http"} {
		for _, tc := range cases {
			t.Run(kind+"/"+tc.name, func(t *testing.T) {
				store := memlog.New(clockwork.NewRealClock(), memlog.Limits{RecordLimit: 2000})
				var l shunt.Log = store
				if kind == "http" {
					srv := httptest.NewServer(memlog.Handler(store))
					defer srv.Close()
					l = rlog.New(srv.URL)
				}
				ctx := context.Background()
				if o, err := l.Append(ctx, "s", []byte("one")); err != nil || o != 1 {
					t.Fatalf("first append: offset %d, %v", o, err)
				}
				store.SetFaults(tc.faults)
				_, err := l.Append(ctx, "s", make([]byte, max(tc.size, 3)))
				if !errors.Is(err, tc.appendErr) {
					t.Fatalf("append error %v, want %v", err, tc.appendErr)
				}
				if tc.truncateTo > 0 {
					store.Truncate("s", tc.truncateTo)
				}
				_, err = l.Read(ctx, "s", 1, 10, 0)
				var truncated *shunt.TruncatedError
				if errors.As(tc.readErr, &truncated) {
					if !errors.As(err, &truncated) || truncated.First != tc.truncateTo || truncated.From != 1 {
						t.Fatalf("read error %v, want truncation at %d", err, tc.truncateTo)
					}
				} else if !errors.Is(err, tc.readErr) {
					t.Fatalf("read error %v, want %v", err, tc.readErr)
				}
				store.SetFaults(memlog.Faults{})
				b, err := l.Read(ctx, "s", max(1, tc.truncateTo), 10, 0)
				if err != nil || len(b.Entries) != tc.stored {
					t.Fatalf("%d entries, %v; want %d", len(b.Entries), err, tc.stored)
				}
			})
		}
	}
}

// TestLongPoll guards against a read that returns without entries before its wait has passed, and against one that
// misses an append made during the wait.
func TestLongPoll(t *testing.T) {
	store := memlog.New(clockwork.NewRealClock(), memlog.Limits{})
	srv := httptest.NewServer(memlog.Handler(store))
	defer srv.Close()
	got := make(chan shunt.Batch, 1)
	go func() {
		b, err := rlog.New(srv.URL).Read(context.Background(), "s", 1, 10, time.Minute)
		if err != nil {
			t.Error(err)
		}
		got <- b
	}()
	for {
		if _, reads := store.Stats(); reads > 0 {
			break
		}
		runtime.Gosched()
	}
	if _, err := store.Append(context.Background(), "s", []byte("x")); err != nil {
		t.Fatal(err)
	}
	if b := <-got; len(b.Entries) != 1 || b.Head != 1 {
		t.Fatalf("batch %+v", b)
	}
}

// TestAppendUnreachable guards against reporting the effect of an append as unknown when no connection was made.
func TestAppendUnreachable(t *testing.T) {
	srv := httptest.NewServer(nil)
	srv.Close()
	if _, err := rlog.New(srv.URL).Append(context.Background(), "s", nil); !errors.Is(err, shunt.ErrLogUnavailable) {
		t.Fatalf("error %v, want %v", err, shunt.ErrLogUnavailable)
	}
}

// TestRetention guards against entries that are kept beyond the retention period, against offsets that are reused
// after it, and against appends above the rate limit.
func TestRetention(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := memlog.New(clock, memlog.Limits{Retention: time.Hour, AppendRate: 2})
	ctx := context.Background()
	if _, err := l.Append(ctx, "s", []byte("a"), []byte("b")); err != nil {
		t.Fatal(err)
	}
	clock.Advance(2 * time.Hour)
	if _, err := l.Read(ctx, "s", 1, 10, 0); err == nil {
		t.Fatal("read of an expired offset succeeded")
	}
	for range 3 {
		if _, err := l.Append(ctx, "s", []byte("c")); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := l.Append(ctx, "s", []byte("d")); !errors.Is(err, shunt.ErrLogRateLimited) {
		t.Fatalf("append above the rate: %v", err)
	}
	if b, err := l.Read(ctx, "s", 3, 10, 0); err != nil || b.First != 3 || b.Head != 5 {
		t.Fatalf("batch %+v, %v", b, err)
	}
}
