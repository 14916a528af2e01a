package meshd

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
)

// timersOfSync is the number of timers of a StateSync that waits for records of both topics.
const timersOfSync = 6

// keyCodec reads the key from the header Key.
type keyCodec struct{ fakeHeaderCodec }

func (keyCodec) CallerKey(h http.Header) string { return h.Get("Key") }

// TestKeyRemovedInPause guards against a node that was paused and then accepts a key that was removed meanwhile, against a
// read from before the pause that counts as one after it, and against requests that wait without a pause, or without end.
func TestKeyRemovedInPause(t *testing.T) {
	const pause = 5 * time.Second
	for _, test := range []struct {
		name   string
		paused time.Duration
		read   bool          // whether a read shows that the key was removed
		began  time.Duration // begin of the read, after the pause
		status int           // 503 means that the key was accepted, since no server is known
	}{
		{"no pause", 0, false, 0, http.StatusServiceUnavailable},
		{"read after the pause", pause, true, 0, http.StatusUnauthorized},
		{"read from before the pause", pause, true, -pause, http.StatusUnauthorized},
		{"no read", pause, false, 0, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := clockwork.NewFakeClock()
			v := NewMeshView(c)
			config := func(version uint64, keys ...shunt.KeyHash) *shunt.MeshConfig {
				return &shunt.MeshConfig{
					Version: version, Tenants: map[string]shunt.TenantSpec{"a": {Keys: keys}},
					Routes: []shunt.MeshRoute{{
						Name: "safe", Host: "shop.example", Prefix: "/safe/", Timeout: time.Second, MaxAttempts: 1,
						Parts: []shunt.RoutePart{{Service: testService, Weight: 1}},
					}},
				}
			}
			v.SetConfig(config(1, shunt.HashKey("k")))
			v.resume.needed, v.resume.last = v.hasTenants, c.Now().Add(-test.paused)
			o := &Outbound{
				Clock: c, Codec: keyCodec{}, View: v, Meter: NewMeter(), StartedAt: c.Now(),
				Service: func() string { return "front" }, Bounds: func() Bounds { return Bounds{} },
			}
			r := httptest.NewRequest(http.MethodGet, "http://shop.example/safe/x", http.NoBody)
			r.Header.Set("Key", "k")
			if test.paused > 0 && o.Begin(t.Context(), r) != nil {
				t.Error("request begun in advance after a pause")
			}
			rec, done := httptest.NewRecorder(), make(chan struct{})
			go func() {
				defer close(done)
				o.ServeHTTP(rec, r)
			}()
			if test.paused > 0 {
				if err := c.BlockUntilContext(t.Context(), 1); err != nil {
					t.Fatal(err)
				}
			}
			if test.read {
				v.SetConfig(config(2))
				v.resume.readDone(c.Now().Add(test.began))
			}
			if test.paused > 0 && (!test.read || test.began < 0) {
				c.Advance(maxResumeWait)
			}
			if <-done; rec.Code != test.status {
				t.Errorf("status %d, want %d", rec.Code, test.status)
			}
		})
	}
}

// TestPauseDetected guards against a pause that is not noticed, and against one that is seen where there was none.
func TestPauseDetected(t *testing.T) {
	c := clockwork.NewFakeClock()
	var w resumeWatch
	if w.observe(c.Now()); w.observe(c.Now().Add(time.Hour)) {
		t.Error("pause detected before the watch runs")
	}
	needed := true
	w.needed, w.last = func() bool { return needed }, c.Now()
	for range 50 {
		c.Advance(pauseTick)
		if w.observe(c.Now()) {
			t.Fatal("pause detected while the process runs")
		}
	}
	c.Advance(2 * pauseThreshold)
	for range 2 {
		if !w.observe(c.Now()) {
			t.Error("pause not detected, or forgotten before the configuration was read")
		}
	}
	w.readDone(c.Now())
	if w.observe(c.Now()) {
		t.Error("configuration is still awaited after its read")
	}
	needed = false
	c.Advance(2 * pauseThreshold)
	if w.observe(c.Now()) {
		t.Error("pause detected without tenants")
	}
}

// TestReadAfterPause guards against a pause after which the operator's topic is read only when a read that was waiting in
// the pause ends, so that requests wait too long.
func TestReadAfterPause(t *testing.T) {
	store := newFakeStore()
	storeOrders(t, store, orderRecord(shunt.OperatorRecord{
		Kind: shunt.RecordConfig, Config: &shunt.MeshConfig{Version: 1, Tenants: map[string]shunt.TenantSpec{}},
	}))
	s := testSync(t, store, "10.0.0.1:1")
	// This clock advances by less than maxResumeWait, so that only a read can end the state after a pause.
	c := clockwork.NewFakeClock()
	s.Clock, s.View.clock = c, c
	runSync(t, s)
	waitFor(t, 10*time.Second, "waiting read of the store", func() bool {
		store.mu.Lock()
		defer store.mu.Unlock()
		return s.View.Table() != nil && store.reads >= 4
	})
	// The reads are watched by tickers of the clock, which is advanced only once: they must exist before.
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := c.BlockUntilContext(ctx, timersOfSync); err != nil {
		t.Fatalf("fewer than %d timers wait: %v", timersOfSync, err)
	}
	c.Advance(time.Millisecond)
	s.View.resume.mu.Lock()
	s.View.resume.last = c.Now().Add(-time.Minute)
	s.View.resume.mu.Unlock()
	if !s.View.resume.observe(c.Now()) {
		t.Fatal("pause not detected")
	}
	c.Advance(behindPollInterval)
	waitFor(t, storeWait/2, "read after the pause", func() bool { return !s.View.resume.observe(c.Now()) })
}
