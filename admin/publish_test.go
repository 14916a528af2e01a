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
	"tanagershunt.example/shunt/memlog"
	"tanagershunt.example/shunt/opapi"
	"tanagershunt.example/shunt/state"
)

// fakeNode reduces the log on every call of State, unless it is lagging.
type fakeNode struct {
	log      *memlog.Log
	state    *state.State
	lagging  bool
	problems []conf.Problem
}

func (n *fakeNode) State() *state.State {
	if n.lagging {
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

func (n *fakeNode) WaitForOffset(ctx context.Context, offset shunt.Offset) error {
	if n.State().Offset() >= offset {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n *fakeNode) InForce(context.Context, shunt.Offset) (opapi.InForce, error) {
	return opapi.InForce{}, nil
}
func (n *fakeNode) Status() opapi.Status                     { return opapi.Status{} }
func (n *fakeNode) Moves() []opapi.Move                      { return nil }
func (n *fakeNode) History() opapi.History                   { return opapi.History{} }
func (n *fakeNode) Dump() any                                { return nil }
func (n *fakeNode) WriteMetrics(io.Writer)                   {}
func (n *fakeNode) CapacityProblems([]string) []conf.Problem { return n.problems }
func (n *fakeNode) Report(context.Context, http.ResponseWriter, string, time.Time, time.Time, string) error {
	return nil
}

// addVersion returns a publish that adds a version to service s and sets the service, whose version is v1.
func addVersion(id, version string, base shunt.Offset) opapi.PublishRequest {
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

// TestPublishResults guards against a result that contradicts the log: published although not applied, or not published
// although applied. Each case injects a log fault or a race, or sends an
// invalid publish, and compares the result with the outcome reduced from the log.
func TestPublishResults(t *testing.T) {
	cases := []struct {
		name        string
		faults      memlog.Faults
		lagging     bool
		problems    []conf.Problem
		req         opapi.PublishRequest
		want        opapi.Result
		wantApplied bool // whether the publish took effect, checked after all faults are cleared
	}{
		{name: "healthy", req: addVersion("b", "v2", 1), want: opapi.ResultPublished, wantApplied: true},
		{
			name:   "log down",
			faults: memlog.Faults{Down: true},
			req:    addVersion("b", "v2", 1),
			want:   opapi.ResultNotPublished,
		},
		{
			name: "answer lost", faults: memlog.Faults{LoseAnswers: 1},
			req: addVersion("b", "v2", 1), want: opapi.ResultPublished, wantApplied: true,
		},
		{
			name:   "append lost",
			faults: memlog.Faults{LoseAppends: 1},
			req:    addVersion("b", "v2", 1),
			want:   opapi.ResultUnknown,
		},
		{
			name: "answer lost and node lags", faults: memlog.Faults{LoseAnswers: 1}, lagging: true,
			req: addVersion("b", "v2", 1), want: opapi.ResultUnknown, wantApplied: true,
		},
		{name: "conflict", req: addVersion("b", "v2", 0), want: opapi.ResultConflict},
		{name: "rejected", req: opapi.PublishRequest{
			ID: "b", Base: map[string]shunt.Offset{"route/r": 0},
			Set: []conf.Object{{Kind: conf.KindRoute, Name: "r", Spec: &conf.Route{Service: "none", Prefix: "/"}}},
		}, want: opapi.ResultRejected},
		{name: "repeated", req: addVersion("a", "v1", 0), want: opapi.ResultPublished, wantApplied: true},
		{
			name:     "last servers of a service",
			problems: []conf.Problem{{Object: "service/s"}},
			req: opapi.PublishRequest{
				ID:   "b",
				Base: map[string]shunt.Offset{"failuredomain/d": 0},
				Set: []conf.Object{
					{Kind: conf.KindDomain, Name: "d", Spec: &conf.Domain{Region: "r", State: conf.DomainOut}},
				},
			},
			want: opapi.ResultRejected,
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := memlog.New(clockwork.NewRealClock(), memlog.Limits{})
				node := &fakeNode{log: store, state: &state.State{}, problems: tc.problems}
				p := admin.NewPublisher(node, store, clockwork.NewRealClock(), "n1")
				if first := p.Publish(t.Context(), addVersion("a", "v1", 0)); first.Result != opapi.ResultPublished {
					t.Fatalf("first publish: %+v", first)
				}
				node.lagging = tc.lagging
				store.SetFaults(tc.faults)
				got := p.Publish(t.Context(), tc.req)
				if got.Result != tc.want {
					t.Fatalf("result %+v, want %q", got, tc.want)
				}
				store.SetFaults(memlog.Faults{})
				node.lagging = false
				outcome, found := node.State().Outcome(tc.req.ID)
				if applied := found && outcome.Verdict == state.VerdictApplied; applied != tc.wantApplied {
					t.Fatalf("took effect: %t, want %t", applied, tc.wantApplied)
				}
			})
		})
	}
}

// TestRetriedPublish guards against a false result of a retry when the first attempt took effect: a node that has
// not reduced the first attempt must not answer the retry with a conflict or with "not published".
func TestRetriedPublish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memlog.New(clockwork.NewRealClock(), memlog.Limits{})
		node := &fakeNode{log: store, state: &state.State{}, lagging: true}
		p := admin.NewPublisher(node, store, clockwork.NewRealClock(), "n1")
		if got := p.Publish(t.Context(), addVersion("a", "v1", 0)); got.Result != opapi.ResultUnknown {
			t.Fatalf("publish on a lagging node: %+v", got)
		}
		retry := addVersion("a", "v1", 0)
		retry.Again = true
		if got := p.Publish(t.Context(), retry); got.Result != opapi.ResultUnknown {
			t.Fatalf("retry on a lagging node: %+v", got)
		}
		store.SetFaults(memlog.Faults{Down: true})
		if got := p.Publish(t.Context(), retry); got.Result != opapi.ResultUnknown {
			t.Fatalf("retry while the log is down: %+v", got)
		}
		store.SetFaults(memlog.Faults{})
		node.lagging = false
		if got := p.Publish(t.Context(), retry); got.Result != opapi.ResultPublished || got.Offset != 1 {
			t.Fatalf("retry on an up-to-date node: %+v", got)
		}
	})
}
