package side

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"tanagershunt.example/shunt"
)

// fakeStore is an in-memory store with faults set by tests. The operator's records in it are JSON of shunt.Order.
type fakeStore struct {
	mu          sync.Mutex
	topics      map[string][]shunt.Keyed
	firstOffset map[string]int64 // first retained offset
	down        bool
	loseReplies bool // records are appended, but the calls fail
	reads       int
	changed     chan struct{}
}

var errReplyLost = errors.New("reply was lost")

func newFakeStore() *fakeStore {
	return &fakeStore{
		topics: make(map[string][]shunt.Keyed), firstOffset: make(map[string]int64), changed: make(chan struct{}),
	}
}

func (s *fakeStore) update(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) Append(_ context.Context, topic string, at int64, records ...shunt.Keyed) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := int64(len(s.topics[topic]))
	switch {
	case s.down:
		return 0, shunt.ErrStoreDown
	case at >= 0 && at != end:
		return 0, shunt.ErrStoreConflict
	}
	for i, k := range records {
		k.Offset = end + int64(i)
		s.topics[topic] = append(s.topics[topic], k)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	if s.loseReplies {
		return 0, errReplyLost
	}
	return end + int64(len(records)), nil
}

func (s *fakeStore) Newest(_ context.Context, topic string) ([]shunt.Keyed, int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, 0, shunt.ErrStoreDown
	}
	newest := make(map[string]shunt.Keyed)
	for _, k := range s.topics[topic] {
		newest[k.Key] = k
	}
	var list []shunt.Keyed
	for _, k := range newest {
		if len(k.Value) > 0 {
			list = append(list, k)
		}
	}
	return list, int64(len(s.topics[topic])), nil
}

func (s *fakeStore) Follow(
	ctx context.Context, topic string, from int64, wait time.Duration,
) ([]shunt.Keyed, int64, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		s.reads++
		down, changed := s.down, s.changed
		list, first := s.topics[topic], s.firstOffset[topic]
		s.mu.Unlock()
		switch {
		case down:
			return nil, from, shunt.ErrStoreDown
		case from < first:
			return nil, from, &shunt.TruncatedError{Stream: topic, From: shunt.Offset(from), First: shunt.Offset(first)}
		case from < int64(len(list)):
			return list[from:], int64(len(list)), nil
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, from, nil
		case <-ctx.Done():
			return nil, from, ctx.Err()
		}
	}
}

// fakeOperator implements shunt.Operator.
type fakeOperator struct{}

func (fakeOperator) Orders() string  { return "orders" }
func (fakeOperator) Answers() string { return "answers" }

func (fakeOperator) Read(k shunt.Keyed) (shunt.Order, error) {
	if len(k.Value) == 0 {
		return shunt.Order{Kind: shunt.OrderEvacuate, Domain: k.Key, Dropped: true}, nil
	}
	var o shunt.Order
	err := json.Unmarshal(k.Value, &o)
	o.Shift.Offset = k.Offset
	return o, err
}

func (fakeOperator) ShiftAnswer(service, target string, s shunt.ShiftState) (shunt.Keyed, error) {
	return shunt.Keyed{Key: service, Value: []byte(target + [...]string{" running", " complete", " back"}[s])}, nil
}

func (fakeOperator) Answered(k shunt.Keyed, service, target string) bool {
	text, ok := strings.CutPrefix(string(k.Value), target+" ")
	return k.Key == service && ok && text != "running"
}

func orderRecord(o shunt.Order) shunt.Keyed {
	data, err := json.Marshal(o)
	if err != nil {
		panic(err)
	}
	key := "config"
	switch o.Kind {
	case shunt.OrderShift:
		key = "shift/" + o.Shift.Service
	case shunt.OrderEvacuate:
		key = o.Domain
	case shunt.OrderConfig, shunt.OrderOther:
	}
	return shunt.Keyed{Key: key, Value: data}
}

// fakeDialect implements shunt.Dialect for requests without identifiers or deadlines.
type fakeDialect struct{}

func (fakeDialect) Caller(http.Header) shunt.CallerRequest             { return shunt.CallerRequest{} }
func (fakeDialect) ToServer(http.Header, shunt.ServerCall)             {}
func (fakeDialect) FromServer(int, http.Header) (a shunt.ServerAnswer) { return a }
func (fakeDialect) Refuse(http.Header, string, time.Duration)          {}
