package agent

import (
	"net/http"

	"tanagershunt.example/shunt/proxy"
)

// rejectOutOfService rejects calls from other nodes while operators have taken this failure domain out of
// service. Nodes that have not received that configuration yet then try another server.
func (n *node) rejectOutOfService(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.Hub.Current().DomainOut(n.Settings.Domain) {
			next.ServeHTTP(w, r)
			return
		}
		// A response without the request's identifier is taken for that of another request, with outcome unknown.
		w.Header().Set(proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
		w.Header().Set(proxy.HeaderOutcome, proxy.OutcomeNotRun)
		w.Header().Set(proxy.HeaderReason, "failure domain is out of service")
		w.Header().Set(proxy.HeaderRetriesUsed, "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}
