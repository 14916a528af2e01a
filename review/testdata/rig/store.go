package main

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"tanagershunt.example/shunt/platform/fakes"
)

type (
	// storeStand is the project's fake of the platform's store, whose writes can also be lost and done late.
	storeStand struct {
		rec     *recorder
		address string
		fake    *fakes.Store

		mu     sync.Mutex
		lose   func(topic, record string) bool // whether a write gets no answer and is done late
		late   time.Duration
		count  bool
		writes int
		lost   int
	}
)

func newStoreStand(rec *recorder, address string) *storeStand {
	return &storeStand{rec: rec, address: address, fake: fakes.NewStore()}
}

// ServeHTTP implements http.Handler. The only calls with the method POST are appends.
func (s *storeStand) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		s.fake.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	record := string(body[min(4, len(body)):])
	s.mu.Lock()
	lost := s.lose != nil && s.lose(r.URL.Query().Get("topic"), record)
	late := s.late
	if s.count {
		s.writes++
		if lost {
			s.lost++
		}
	}
	s.mu.Unlock()
	if !lost {
		s.rec.printf("store: append %s at=%q", short(record), r.URL.Query().Get("at"))
		s.fake.ServeHTTP(w, r)
		return
	}
	s.rec.printf("store: append %s gets no answer, and is done %v later", short(record), late)
	again := r.Clone(context.Background())
	again.Body = io.NopCloser(bytes.NewReader(body))
	time.AfterFunc(late, func() {
		res := httptest.NewRecorder()
		s.fake.ServeHTTP(res, again)
		s.rec.printf("store: late append %s done, status %d", short(record), res.Code)
	})
	<-r.Context().Done()
}

func short(record string) string {
	record = strings.Map(func(c rune) rune {
		if c < ' ' {
			return -1
		}
		return c
	}, record)
	if len(record) > 420 {
		record = record[:420] + "..."
	}
	return record
}
