// Package memlog is an in-memory implementation of the platform's log service with fault injection, for
// development, benchmarks and tests.
package memlog

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"tanagershunt.example/shunt"
)

// Defaults of Limits.
const (
	DefaultRecordLimit = 256 << 10 // bytes
	DefaultAppendRate  = 400       // appends per second
)

type (
	// Limits holds the limits of a Log. A zero field selects the default. Retention has no default: 0 keeps all entries.
	Limits struct {
		Retention   time.Duration // age at which entries are deleted
		AppendRate  float64       // appends per second over all streams
		RecordLimit int           // maximum size of one entry in bytes
	}

	// Faults selects the faults that are injected into a Log. The zero value injects none.
	Faults struct {
		Down        bool          // every call fails without effect
		Delay       time.Duration // added to every call
		LoseAnswers int           // number of appends that take effect but return ErrAppendUnknown
		LoseAppends int           // number of appends that have no effect and return ErrAppendUnknown
	}

	// Log implements shunt.Log. Its zero value is ready to use.
	Log struct {
		mu      sync.Mutex
		clock   clockwork.Clock
		limits  Limits
		faults  Faults
		limiter *rate.Limiter
		streams map[string]*stream
		appends uint64
		reads   uint64
	}

	stream struct {
		entries []storedEntry
		first   shunt.Offset
		changed chan struct{}
	}

	storedEntry struct {
		at   time.Time
		data []byte
	}
)

// New returns an empty log.
func New(clock clockwork.Clock, limits Limits) *Log {
	return &Log{clock: clock, limits: limits}
}

// Append implements shunt.Log.
func (l *Log) Append(ctx context.Context, name string, data ...[]byte) (shunt.Offset, error) {
	if err := l.injectDelay(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", shunt.ErrLogUnavailable, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, shunt.ErrLogUnavailable
	}
	for _, d := range data {
		if len(d) > l.recordLimit() {
			return 0, fmt.Errorf("%w: %d bytes", shunt.ErrRecordTooLarge, len(d))
		}
	}
	now := l.clockOrDefault().Now()
	if !l.rateLimiter().AllowN(now, 1) {
		return 0, shunt.ErrLogRateLimited
	}
	if l.faults.LoseAppends > 0 {
		l.faults.LoseAppends--
		return 0, shunt.ErrAppendUnknown
	}
	l.appends++
	s := l.stream(name)
	offset := s.head() + 1
	for _, d := range data {
		s.entries = append(s.entries, storedEntry{at: now, data: append([]byte(nil), d...)})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if l.faults.LoseAnswers > 0 {
		l.faults.LoseAnswers--
		return 0, shunt.ErrAppendUnknown
	}
	return offset, nil
}

// Read implements shunt.Log.
func (l *Log) Read(
	ctx context.Context, name string, from shunt.Offset, limit int, wait time.Duration,
) (shunt.Batch, error) {
	if err := l.injectDelay(ctx); err != nil {
		return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogUnavailable, err)
	}
	deadline := l.clockOrDefault().After(wait)
	for {
		b, changed, err := l.readAvailable(name, from, limit)
		if err != nil || len(b.Entries) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-ctx.Done():
			return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogUnavailable, ctx.Err())
		case <-deadline:
			return b, nil
		case <-changed:
		}
	}
}

// SetFaults replaces the injected faults. Waiting reads are woken up to apply them.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Truncate deletes all entries of a stream below an offset.
func (l *Log) Truncate(name string, first shunt.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).truncate(first)
}

// Stats returns the number of appends that took effect and the number of reads performed. A waiting read counts once at
// its start and once more per wake-up.
func (l *Log) Stats() (appends, reads uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

func (l *Log) readAvailable(name string, from shunt.Offset, limit int) (shunt.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return shunt.Batch{}, nil, shunt.ErrLogUnavailable
	}
	l.reads++
	s := l.stream(name)
	l.dropExpired(s)
	b := shunt.Batch{First: s.first, Head: s.head()}
	if from < s.first {
		return b, nil, &shunt.TruncatedError{Stream: name, From: from, First: s.first}
	}
	for o := from; o <= b.Head && len(b.Entries) < limit; o++ {
		b.Entries = append(b.Entries, shunt.Entry{Offset: o, Data: s.entries[o-s.first].data})
	}
	return b, s.changed, nil
}

func (l *Log) injectDelay(ctx context.Context) error {
	l.mu.Lock()
	delay := l.faults.Delay
	clock := l.clockOrDefault()
	l.mu.Unlock()
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-clock.After(delay):
		return nil
	}
}

func (l *Log) dropExpired(s *stream) {
	if l.limits.Retention <= 0 {
		return
	}
	oldest := l.clockOrDefault().Now().Add(-l.limits.Retention)
	first := s.first
	for _, e := range s.entries {
		if !e.at.Before(oldest) {
			break
		}
		first++
	}
	s.truncate(first)
}

func (l *Log) stream(name string) *stream {
	if l.streams == nil {
		l.streams = make(map[string]*stream)
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{first: 1, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (l *Log) clockOrDefault() clockwork.Clock {
	if l.clock == nil {
		l.clock = clockwork.NewRealClock()
	}
	return l.clock
}

func (l *Log) rateLimiter() *rate.Limiter {
	if l.limiter == nil {
		r := l.limits.AppendRate
		if r <= 0 {
			r = DefaultAppendRate
		}
		l.limiter = rate.NewLimiter(rate.Limit(r), int(r)+1)
	}
	return l.limiter
}

func (l *Log) recordLimit() int {
	if l.limits.RecordLimit > 0 {
		return l.limits.RecordLimit
	}
	return DefaultRecordLimit
}

func (s *stream) head() shunt.Offset { return s.first + shunt.Offset(len(s.entries)) - 1 }

func (s *stream) truncate(first shunt.Offset) {
	if first <= s.first {
		return
	}
	if first > s.head()+1 {
		first = s.head() + 1
	}
	s.entries = append([]storedEntry(nil), s.entries[first-s.first:]...)
	s.first = first
}
