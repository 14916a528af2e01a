// Package mlog is an in-memory stand-in for the platform's log service, with fault injection.
package mlog

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
	DefaultRecordLimit = 256 << 10
	DefaultAppendRate  = 400
)

type (
	// Limits bounds a Log. Zero fields mean the defaults.
	Limits struct {
		Retention   time.Duration // age from which entries are dropped; 0 keeps them for good
		AppendRate  float64       // appends a second over all streams
		RecordLimit int           // bytes of one entry
	}

	// Faults is what a Log does wrong. The zero value is a healthy log.
	Faults struct {
		Down        bool          // every call fails and has no effect
		Delay       time.Duration // added to every call
		LoseAnswers int           // so many appends take effect and answer ErrAppendUnknown
		LoseAppends int           // so many appends have no effect and answer ErrAppendUnknown
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
		entries []stored
		first   shunt.Offset
		changed chan struct{}
	}

	stored struct {
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
	if err := l.wait(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", shunt.ErrLogDown, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return 0, shunt.ErrLogDown
	}
	for _, d := range data {
		if len(d) > l.recordLimit() {
			return 0, fmt.Errorf("%w: %d bytes", shunt.ErrRecordTooLarge, len(d))
		}
	}
	now := l.timeSource().Now()
	if !l.rateLimiter().AllowN(now, 1) {
		return 0, shunt.ErrLogBusy
	}
	if l.faults.LoseAppends > 0 {
		l.faults.LoseAppends--
		return 0, shunt.ErrAppendUnknown
	}
	l.appends++
	s := l.stream(name)
	offset := s.head() + 1
	for _, d := range data {
		s.entries = append(s.entries, stored{at: now, data: append([]byte(nil), d...)})
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
	if err := l.wait(ctx); err != nil {
		return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogDown, err)
	}
	deadline := l.timeSource().After(wait)
	for {
		b, changed, err := l.tryRead(name, from, limit)
		if err != nil || len(b.Entries) > 0 || wait <= 0 {
			return b, err
		}
		select {
		case <-ctx.Done():
			return shunt.Batch{}, fmt.Errorf("%w: %w", shunt.ErrLogDown, ctx.Err())
		case <-deadline:
			return b, nil
		case <-changed:
		}
	}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// Truncate drops all entries of a stream below an offset.
func (l *Log) Truncate(name string, first shunt.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stream(name).truncate(first)
}

// Counts returns the number of appends that took effect and of reads answered.
func (l *Log) Counts() (appends, reads uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

func (l *Log) tryRead(name string, from shunt.Offset, limit int) (shunt.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return shunt.Batch{}, nil, shunt.ErrLogDown
	}
	l.reads++
	s := l.stream(name)
	l.expire(s)
	b := shunt.Batch{First: s.first, Head: s.head()}
	if from < s.first {
		return b, nil, &shunt.TruncatedError{Stream: name, From: from, First: s.first}
	}
	for o := from; o <= b.Head && len(b.Entries) < limit; o++ {
		b.Entries = append(b.Entries, shunt.Entry{Offset: o, Data: s.entries[o-s.first].data})
	}
	return b, s.changed, nil
}

func (l *Log) wait(ctx context.Context) error {
	l.mu.Lock()
	delay := l.faults.Delay
	clock := l.timeSource()
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

func (l *Log) expire(s *stream) {
	if l.limits.Retention <= 0 {
		return
	}
	oldest := l.timeSource().Now().Add(-l.limits.Retention)
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

func (l *Log) timeSource() clockwork.Clock {
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
	s.entries = append([]stored(nil), s.entries[first-s.first:]...)
	s.first = first
}
