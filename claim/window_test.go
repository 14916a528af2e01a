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
	"tanagershunt.example/shunt/memlog"
)

// encodeRecord returns a record as another holder or an earlier version of the program would have written it.
func encodeRecord(kind, claimID string, o shunt.Outcome) []byte {
	data, err := json.Marshal(map[string]any{
		"schema": 1, "kind": kind, "ask": claimID, "key": "k", "bodyHash": "x", "requestId": "r-" + claimID,
		"at": time.Now(), "outcome": o, "status": 200,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// Guards against a changed record format or replay rule: a holder that replays records of another holder or an earlier
// program version must return the same verdicts.
func TestVerdictFromLog(t *testing.T) {
	claimed := func(claimID string) []byte { return encodeRecord("claim", claimID, 0) }
	settled := func(claimID string, o shunt.Outcome) []byte { return encodeRecord("settle", claimID, o) }
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
		{"first in log order", [][]byte{claimed("1"), claimed("2")}, 0, repeat, shunt.ClaimRunning, "r-1"},
		{"ran", [][]byte{claimed("1"), settled("1", shunt.OutcomeOK)}, 0, repeat, shunt.ClaimRan, "r-1"},
		{"freed", [][]byte{claimed("1"), settled("1", shunt.OutcomeNotRun)}, 0, first, 0, "r-me"},
		{"released by another claim", [][]byte{claimed("1"), settled("2", shunt.OutcomeNotRun)}, 0, repeat, 0, "r-1"},
		{"repeated release", [][]byte{
			claimed("1"), settled("1", shunt.OutcomeNotRun), claimed("2"), settled("1", shunt.OutcomeNotRun),
		}, 0, repeat, shunt.ClaimRunning, "r-2"},
		{"claim after its release", [][]byte{settled("1", shunt.OutcomeNotRun), claimed("1")}, 0, first, 0, "r-me"},
		{"repeated claim after its release", [][]byte{
			claimed("1"), settled("1", shunt.OutcomeNotRun), claimed("1"),
		}, 0, first, 0, "r-me"},
		{"claim no longer retained", [][]byte{claimed("1"), claimed("9")}, 3, first, 0, "r-me"},
		{"only the outcome retained", [][]byte{
			claimed("1"), settled("1", shunt.OutcomeOK), claimed("2"),
		}, 2, repeat, shunt.ClaimRan, "r-1"},
		{"malformed", [][]byte{[]byte("{"), []byte(`{"schema":1,"kind":"claim","key":"k"}`)}, 0, first, 0, "r-me"},
	}
	for _, tt := range tests {
		synctest.Test(t, func(t *testing.T) {
			log := memlog.New(clockwork.NewRealClock(), memlog.Limits{})
			appendEntries(t, log, tt.log...)
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

// Guards against a second verdict ClaimFirst after the log dropped a claim, when holders drop a claim at different
// times relative to reading the next one. A claim that was appended twice is retained until its second record is
// dropped.
func TestLaterClaimTakesOverWhenFirstExpires(t *testing.T) {
	for _, next := range []string{"1", "2"} {
		synctest.Test(t, func(t *testing.T) {
			log := memlog.New(clockwork.NewRealClock(), memlog.Limits{})
			h := claim.NewHolder(clockwork.NewRealClock(), log, 0)
			defer h.Close()
			appendEntries(t, log, encodeRecord("claim", "1", 0), encodeRecord("claim", next, 0))
			if a, err := take(h, "me", "x"); err != nil || a.RequestID != "r-1" {
				t.Fatalf("before the truncation: %+v, %v; want request r-1", a, err)
			}
			log.Truncate(claim.Stream(claim.Partition("k")), 2)
			if a, err := take(h, "me", "x"); err != nil || a.Verdict != shunt.ClaimRepeat || a.RequestID != "r-"+next {
				t.Errorf("after the truncation: %+v, %v; want a repeat of r-%s", a, err, next)
			}
		})
	}
}

// Guards against an append rate that grows with the number of requests, and against memory that grows beyond the
// log's retention.
func TestAppendsAndMemoryAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := memlog.New(clockwork.NewRealClock(), memlog.Limits{Retention: 5 * time.Second})
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
		if appends, _ := log.Stats(); appends > seconds*10+2 {
			t.Errorf("%d appends in %d s, want at most 10 per second", appends, seconds)
		}
		time.Sleep(time.Minute * 10)
		if n := h.Size(); n != 0 {
			t.Errorf("%d records held by an idle holder, want 0", n)
		}
	})
}

// Guards against messages that gob cannot encode, and against errors of the log that look like a broken
// connection.
func TestServiceOverRPC(t *testing.T) {
	log := memlog.New(clockwork.NewRealClock(), memlog.Limits{})
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
	c := claim.NewClient(clockwork.NewRealClock(), directory{fleet: &fleet{}, node: 1}, nil, conn, rand.NewPCG(1, 1))
	defer c.Close()
	r := shunt.ClaimRequest{Key: "k", BodyHash: "x", RequestID: "1"}
	if a, err := c.Claim(t.Context(), r); err != nil || a.Verdict != shunt.ClaimFirst {
		t.Fatalf("%+v, %v", a, err)
	}
	c.Settle(shunt.ClaimOutcome{Key: "k", RequestID: "1", Status: 201})
	if err := c.Flush(t.Context()); err != nil {
		t.Fatal(err)
	}
	log.SetFaults(memlog.Faults{Down: true})
	if _, err := c.Claim(t.Context(), r); !errors.As(err, new(rpc.ServerError)) {
		t.Fatalf("error with the log down: %v, want an rpc.ServerError", err)
	}
	log.SetFaults(memlog.Faults{})
	local := claim.NewClient(clockwork.NewRealClock(), directory{fleet: &fleet{}}, h, conn, rand.NewPCG(1, 1))
	defer local.Close()
	if a, err := local.Claim(t.Context(), r); err != nil || a.State != shunt.ClaimRan || a.Status != 201 {
		t.Errorf("repeat: %+v, %v; want state ran with status 201", a, err)
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

func appendEntries(t *testing.T, log *memlog.Log, entries ...[]byte) {
	t.Helper()
	if _, err := log.Append(context.Background(), claim.Stream(claim.Partition("k")), entries...); err != nil {
		t.Fatal(err)
	}
}

func take(h *claim.Holder, claimID, body string) (shunt.ClaimResult, error) {
	return h.Take(context.Background(), claim.TakeArgs{
		Partition: claim.Partition("k"), Ask: claimID, Key: "k", BodyHash: body, RequestID: "r-" + claimID,
	})
}
