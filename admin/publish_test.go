package admin_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/admin"
	"tanagershunt.example/shunt/conf"
	"tanagershunt.example/shunt/mlog"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/state"
)

// fakeNode reduces the log whenever it is asked, unless it lags.
type fakeNode struct {
	log   *mlog.Log
	state *state.State
	lags  bool
	lost  []conf.Problem
}

func (n *fakeNode) State() *state.State {
	if n.lags {
		return n.state
	}
	b, err := n.log.Read(context.Background(), shunt.StreamConfig, n.state.Offset()+1, 1000, 0)
	if err != nil {
		return n.state
	}
	for _, e := range b.Entries {
		if n.state, _, err = n.state.Apply(e.Offset, e.Data); err != nil {
			panic(err)
		}
	}
	return n.state
}

func (n *fakeNode) Wait(ctx context.Context, offset shunt.Offset) error {
	if n.State().Offset() >= offset {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n *fakeNode) InForce(context.Context, shunt.Offset) (opapi.InForce, error) {
	return opapi.InForce{}, nil
}
func (n *fakeNode) Status() opapi.Status         { return opapi.Status{} }
func (n *fakeNode) Moves() []opapi.Move          { return nil }
func (n *fakeNode) History() opapi.History       { return opapi.History{} }
func (n *fakeNode) Dump() any                    { return nil }
func (n *fakeNode) WriteMetrics(io.Writer)       {}
func (n *fakeNode) Lost([]string) []conf.Problem { return n.lost }
func (n *fakeNode) Report(context.Context, http.ResponseWriter, string, time.Time, time.Time, string) error {
	return nil
}

// request adds a version to service s, and the service itself with the first one.
func request(id, version string, base shunt.Offset) opapi.PublishRequest {
	r := opapi.PublishRequest{
		ID:   id,
		Base: map[string]shunt.Offset{"version/" + version: 0, "service/s": base},
		Set: []conf.Object{
			{Kind: conf.KindVersion, Name: version, Spec: &conf.Version{Service: "s"}},
			{Kind: conf.KindService, Name: "s", Spec: &conf.Service{Version: "v1"}},
		},
	}
	return r
}

// TestPublishResults guards against a result that is not true: each case injects one fault of the log or a
// race and compares the result with what the log then holds.
func TestPublishResults(t *testing.T) {
	cases := []struct {
		name   string
		faults mlog.Faults
		lags   bool
		lost   []conf.Problem
		send   opapi.PublishRequest
		want   opapi.Result
		inLog  bool // whether the publish took effect, as seen once all faults are gone
	}{
		{name: "healthy", send: request("b", "v2", 1), want: opapi.ResultPublished, inLog: true},
		{
			name:   "log down",
			faults: mlog.Faults{Down: true},
			send:   request("b", "v2", 1),
			want:   opapi.ResultNotPublished,
		},
		{
			name: "answer lost", faults: mlog.Faults{LoseAnswers: 1},
			send: request("b", "v2", 1), want: opapi.ResultPublished, inLog: true,
		},
		{
			name:   "append lost",
			faults: mlog.Faults{LoseAppends: 1},
			send:   request("b", "v2", 1),
			want:   opapi.ResultUnknown,
		},
		{
			name: "answer lost and node lags", faults: mlog.Faults{LoseAnswers: 1}, lags: true,
			send: request("b", "v2", 1), want: opapi.ResultUnknown, inLog: true,
		},
		{name: "conflict", send: request("b", "v2", 0), want: opapi.ResultConflict},
		{name: "rejected", send: opapi.PublishRequest{
			ID: "b", Base: map[string]shunt.Offset{"route/r": 0},
			Set: []conf.Object{{Kind: conf.KindRoute, Name: "r", Spec: &conf.Route{Service: "none", Prefix: "/"}}},
		}, want: opapi.ResultRejected},
		{name: "repeated", send: request("a", "v1", 0), want: opapi.ResultPublished, inLog: true},
		{name: "last servers of a service", lost: []conf.Problem{{Object: "service/s"}}, send: opapi.PublishRequest{
			ID:   "b",
			Base: map[string]shunt.Offset{"failuredomain/d": 0},
			Set: []conf.Object{
				{Kind: conf.KindDomain, Name: "d", Spec: &conf.Domain{Region: "r", State: conf.DomainOut}},
			},
		}, want: opapi.ResultRejected},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := mlog.New(clockwork.NewRealClock(), mlog.Limits{})
				node := &fakeNode{log: store, state: &state.State{}, lost: tc.lost}
				p := admin.NewPublisher(node, store, clockwork.NewRealClock(), "n1")
				if first := p.Publish(t.Context(), request("a", "v1", 0)); first.Result != opapi.ResultPublished {
					t.Fatalf("first publish: %+v", first)
				}
				node.lags = tc.lags
				store.SetFaults(tc.faults)
				got := p.Publish(t.Context(), tc.send)
				if got.Result != tc.want {
					t.Fatalf("result %+v, want %q", got, tc.want)
				}
				store.SetFaults(mlog.Faults{})
				node.lags = false
				outcome, found := node.State().Outcome(tc.send.ID)
				if applied := found && outcome.Verdict == state.VerdictApplied; applied != tc.inLog {
					t.Fatalf("took effect: %t, want %t", applied, tc.inLog)
				}
			})
		})
	}
}

// TestAskAgain guards against denying a publish whose first try took effect: a node that has not reduced the
// first try must not call the second a conflict, and must not say "not published" while it can't know.
func TestAskAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := mlog.New(clockwork.NewRealClock(), mlog.Limits{})
		node := &fakeNode{log: store, state: &state.State{}, lags: true}
		p := admin.NewPublisher(node, store, clockwork.NewRealClock(), "n1")
		if got := p.Publish(t.Context(), request("a", "v1", 0)); got.Result != opapi.ResultUnknown {
			t.Fatalf("publish at a node that lags: %+v", got)
		}
		again := request("a", "v1", 0)
		again.Again = true
		if got := p.Publish(t.Context(), again); got.Result != opapi.ResultUnknown {
			t.Fatalf("retry at a node that lags: %+v", got)
		}
		store.SetFaults(mlog.Faults{Down: true})
		if got := p.Publish(t.Context(), again); got.Result != opapi.ResultUnknown {
			t.Fatalf("retry while the log is down: %+v", got)
		}
		store.SetFaults(mlog.Faults{})
		node.lags = false
		if got := p.Publish(t.Context(), again); got.Result != opapi.ResultPublished || got.Offset != 1 {
			t.Fatalf("retry at a current node: %+v", got)
		}
	})
}
