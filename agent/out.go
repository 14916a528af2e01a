package agent

import (
	"net/http"

	"tanagershunt.example/shunt/proxy"
)

// refuseWhenOut refuses calls of other nodes while operators have this failure domain out of service. Nodes
// that have not heard of it yet then try elsewhere.
func (n *node) refuseWhenOut(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.Hub.Current().DomainOut(n.Settings.Domain) {
			next.ServeHTTP(w, r)
			return
		}
		// An answer without the request's identifier counts as another request's and its outcome as unknown.
		w.Header().Set(proxy.HeaderRequestID, r.Header.Get(proxy.HeaderRequestID))
		w.Header().Set(proxy.HeaderOutcome, proxy.OutcomeNotRun)
		w.Header().Set(proxy.HeaderReason, "failure domain is out of service")
		w.Header().Set(proxy.HeaderRetriesUsed, "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}
