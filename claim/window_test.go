package claim_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/claim"
	"tanagershunt.example/shunt/mlog"
)

// entry writes a record as another holder or an earlier program would have written it.
func entry(kind, ask string, o shunt.Outcome) []byte {
	data, err := json.Marshal(map[string]any{
		"schema": 1, "kind": kind, "ask": ask, "key": "k", "bodyHash": "x", "requestId": "r-" + ask,
		"at": time.Now(), "outcome": o, "status": 200,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against a holder that reduces a given log differently from the others.
func TestVerdictFromTheLog(t *testing.T) {
	took := func(ask string) []byte { return entry("claim", ask, 0) }
	ended := func(ask string, o shunt.Outcome) []byte { return entry("settle", ask, o) }
	first, repeat := shunt.ClaimFirst, shunt.ClaimRepeat
	tests := []struct {
		name     string
		log      [][]byte
		truncate shunt.Offset
		verdict  shunt.ClaimVerdict
		state    shunt.ClaimState
		holder   string
	}{
		{"empty", nil, 0, first, 0, "r-me"},
		{"first in log order", [][]byte{took("1"), took("2")}, 0, repeat, shunt.ClaimRunning, "r-1"},
		{"ran", [][]byte{took("1"), ended("1", shunt.OutcomeOK)}, 0, repeat, shunt.ClaimRan, "r-1"},
		{"freed", [][]byte{took("1"), ended("1", shunt.OutcomeNotRun)}, 0, first, 0, "r-me"},
		{"freed by another claim", [][]byte{took("1"), ended("2", shunt.OutcomeNotRun)}, 0, repeat, 0, "r-1"},
		{"late repeat of a freeing", [][]byte{
			took("1"), ended("1", shunt.OutcomeNotRun), took("2"), ended("1", shunt.OutcomeNotRun),
		}, 0, repeat, shunt.ClaimRunning, "r-2"},
		{"claim after it was given up", [][]byte{ended("1", shunt.OutcomeNotRun), took("1")}, 0, first, 0, "r-me"},
		{"late claim after it was freed", [][]byte{
			took("1"), ended("1", shunt.OutcomeNotRun), took("1"),
		}, 0, first, 0, "r-me"},
		{"claim no longer retained", [][]byte{took("1"), took("9")}, 3, first, 0, "r-me"},
		{"only the outcome retained", [][]byte{
			took("1"), ended("1", shunt.OutcomeOK), took("2"),
		}, 2, repeat, shunt.ClaimRan, "r-1"},
		{"malformed", [][]byte{[]byte("{"), []byte(`{"schema":1,"kind":"claim","key":"k"}`)}, 0, first, 0, "r-me"},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			log := mlog.New(clockwork.NewRealClock(), mlog.Limits{})
			fill(t, log, tt.log...)
			log.Truncate(claim.Stream(claim.Partition("k")), tt.truncate)
			h := claim.NewHolder(clockwork.NewRealClock(), log, 0)
			defer h.Close()
			a, err := take(h, "me", "x")
			if err != nil || a.Verdict != tt.verdict || a.State != tt.state || a.RequestID != tt.holder {
				t.Errorf("%s: %+v, %v", tt.name, a, err)
			}
		})
	}
}

// Guards against a second first after the log dropped the claim that two holders disagree on: one dropped
// it before it saw the next claim, the other after. A claim appended twice is held by its second record.
func TestNextClaimTakesOverWhenTheFirstExpires(t *testing.T) {
	for _, next := range []string{"1", "2"} {
		synctest.Test(t, func(t *testing.T) {
			log := mlog.New(clockwork.NewRealClock(), mlog.Limits{})
			h := claim.NewHolder(clockwork.NewRealClock(), log, 0)
			defer h.Close()
			fill(t, log, entry("claim", "1", 0), entry("claim", next, 0))
			if a, err := take(h, "me", "x"); err != nil || a.RequestID != "r-1" {
				t.Fatalf("before: %+v, %v", a, err)
			}
			log.Truncate(claim.Stream(claim.Partition("k")), 2)
			if a, err := take(h, "me", "x"); err != nil || a.Verdict != shunt.ClaimRepeat || a.RequestID != "r-"+next {
				t.Errorf("after: %+v, %v; want a repeat of r-%s", a, err, next)
			}
		})
	}
}

// Guards against an append rate that grows with requests, and memory that grows beyond the retention.
func TestAppendsAndMemoryAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := mlog.New(clockwork.NewRealClock(), mlog.Limits{Retention: 5 * time.Second})
		h := claim.NewHolder(clockwork.NewRealClock(), log, 0)
		defer h.Close()
		done := make(chan error, 40_000)
		const seconds, perSecond = 20, 1000
		for i := range seconds * perSecond {
			args := claim.TakeArgs{Partition: 3, Ask: fmt.Sprint(i), Key: fmt.Sprint("k", i)}
			go func() {
				_, err := h.Take(context.Background(), args)
				done <- err
			}()
			time.Sleep(time.Second / perSecond)
			if n := h.Size(); n > 6*perSecond {
				t.Fatalf("%d records held after %d claims, want those of 5 s", n, i)
			}
		}
		for range seconds * perSecond {
			if err := <-done; err != nil {
				t.Fatal(err)
			}
		}
		if appends, _ := log.Counts(); appends > seconds*10+2 {
			t.Errorf("%d appends in %d s, want at most 10 a second", appends, seconds)
		}
		time.Sleep(time.Minute * 10)
		if n := h.Size(); n != 0 {
			t.Errorf("%d records held by an idle holder", n)
		}
	})
}

// Guards against messages that gob cannot carry, and errors of the log that look like a lost connection.
func TestServiceOverRPC(t *testing.T) {
	log := mlog.New(clockwork.NewRealClock(), mlog.Limits{})
	h := claim.NewHolder(clockwork.NewRealClock(), log, 0)
	defer h.Close()
	server := rpc.NewServer()
	if err := server.RegisterName("Claim", claim.NewService(h)); err != nil {
		t.Fatal(err)
	}
	near, far := net.Pipe()
	go server.ServeConn(far)
	conn := rpcTransport{rpc.NewClient(near)}
	defer conn.client.Close()
	c := claim.NewClient(clockwork.NewRealClock(), view{fleet: &fleet{}, node: 1}, nil, conn, rand.NewPCG(1, 1))
	defer c.Close()
	r := shunt.ClaimRequest{Key: "k", BodyHash: "x", RequestID: "1"}
	if a, err := c.Claim(t.Context(), r); err != nil || a.Verdict != shunt.ClaimFirst {
		t.Fatalf("%+v, %v", a, err)
	}
	c.Settle(shunt.Settlement{Key: "k", RequestID: "1", Status: 201})
	if err := c.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	log.SetFaults(mlog.Faults{Down: true})
	if _, err := c.Claim(t.Context(), r); !errors.As(err, new(rpc.ServerError)) {
		t.Fatalf("with the log down: %v", err)
	}
	log.SetFaults(mlog.Faults{})
	local := claim.NewClient(clockwork.NewRealClock(), view{fleet: &fleet{}}, h, conn, rand.NewPCG(1, 1))
	defer local.Close()
	if a, err := local.Claim(t.Context(), r); err != nil || a.State != shunt.ClaimRan || a.Status != 201 {
		t.Errorf("repeat: %+v, %v", a, err)
	}
}

type rpcTransport struct{ client *rpc.Client }

// Take implements claim.Transport.
func (c rpcTransport) Take(_ context.Context, _ string, args claim.TakeArgs) (claim.TakeReply, error) {
	var reply claim.TakeReply
	err := c.client.Call("Claim.Take", args, &reply)
	return reply, err
}

// Settle implements claim.Transport.
func (c rpcTransport) Settle(_ context.Context, _ string, args claim.SettleArgs) error {
	return c.client.Call("Claim.Settle", args, &claim.SettleReply{})
}

func fill(t *testing.T, log *mlog.Log, entries ...[]byte) {
	t.Helper()
	if _, err := log.Append(context.Background(), claim.Stream(claim.Partition("k")), entries...); err != nil {
		t.Fatal(err)
	}
}

func take(h *claim.Holder, ask, body string) (shunt.ClaimAnswer, error) {
	return h.Take(context.Background(), claim.TakeArgs{
		Partition: claim.Partition("k"), Ask: ask, Key: "k", BodyHash: body, RequestID: "r-" + ask,
	})
}
