package meshd

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/jonboulle/clockwork"

	"tanagershunt.example/shunt/proxy"
)

// TestUnprovenRefusalOfNode guards against a caller who is told that a request has not run although it may have: another
// node, which may be of an earlier version, passes on such a status of its server as an answer, or sends it without an
// outcome, or the deadline passes afterwards. Only its own refusal promises that no server has run the request.
func TestUnprovenRefusalOfNode(t *testing.T) {
	for _, test := range []struct {
		name    string
		status  int
		outcome string // of the node, empty for none
		expired bool   // the caller's deadline passes before the response is handled
		want    int
	}{
		{"answer of a server, 408", http.StatusRequestTimeout, "answered", false, http.StatusBadGateway},
		{"answer of a server, 421", http.StatusMisdirectedRequest, "answered", false, http.StatusBadGateway},
		{"answer of a server, 429", http.StatusTooManyRequests, "answered", false, http.StatusBadGateway},
		{"answer of a server, 503", http.StatusServiceUnavailable, "answered", false, http.StatusBadGateway},
		{"no outcome, 503", http.StatusServiceUnavailable, "", false, http.StatusBadGateway},
		{"no outcome, 503, deadline", http.StatusServiceUnavailable, "", true, http.StatusGatewayTimeout},
		{"unknown outcome, 503", http.StatusServiceUnavailable, "unknown", false, http.StatusBadGateway},
		{"refusal of the node", http.StatusServiceUnavailable, "not-run", false, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			defer cancel(nil)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
				if test.outcome != "" {
					w.Header().Set(proxy.HeaderOutcome, test.outcome)
				}
				w.WriteHeader(test.status)
			}))
			defer srv.Close()
			c := clockwork.NewRealClock()
			view := NewMeshView(c)
			addr := srv.Listener.Addr().String()
			view.setEntry(nodeEntry{
				Calls: addr, Domain: "a", Service: testService, Server: "i", Version: "v1", Slots: 1,
			})
			call := dispatchableCall(c, view)
			call.method, call.route.Repeatable = http.MethodPost, false
			res := call.dispatch(ctx)
			if test.expired {
				cancel(context.DeadlineExceeded)
			}
			rec := httptest.NewRecorder()
			call.finish(ctx, rec, res)
			if rec.Code != test.want {
				t.Errorf("caller got %d (%s), want %d", rec.Code, rec.Header().Get(proxy.HeaderReason), test.want)
			}
		})
	}
}
