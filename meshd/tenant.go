package meshd

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/apex/log"

	"tanagershunt.example/shunt/route"
	"tanagershunt.example/shunt/tenant"
)

// outdatedGrace is the time after a change of the tenants in which requests of nodes that have not read it are still served.
// With the time in which a configuration reaches the servers' nodes, it must stay below the 2.5 s within which a removed
// key must stop working at all nodes, also at one that was frozen or cut off.
const outdatedGrace = 1500 * time.Millisecond

// tenantsSince is the first configuration, as far as this process knows, with the tenants in force.
type tenantsSince struct {
	directory *tenant.Directory
	version   uint64
	at        time.Time
}

// authenticate returns the tenant to which a caller's request belongs. It reports false if the route requires a valid key
// and the request has none. Requests of a configuration without tenants belong to none.
func (o *Outbound) authenticate(table *route.Table, entry *route.Entry, r *http.Request) (tenant.Tenant, bool) {
	tenants := table.Tenants()
	if tenants == nil {
		return tenant.Tenant{}, true
	}
	owner, ok := tenants.Lookup(o.Codec.CallerKey(r.Header))
	return owner, ok || entry.Public
}

// rejectUnauthorized refuses a request without a valid key. The response is the same for a missing and an unknown key.
func (o *Outbound) rejectUnauthorized(w http.ResponseWriter, r *http.Request, id string) {
	w.Header()["Www-Authenticate"] = []string{"Bearer"}
	if r.ContentLength != 0 && r.Header.Get("Expect") == "" {
		// A caller that is still sending when the connection closes may not see the response.
		w.Header()["Connection"] = []string{"close"}
		if _, err := io.CopyN(io.Discard, r.Body, maxDiscardBytes); err != nil && !errors.Is(err, io.EOF) {
			log.WithError(err).WithField("request", id).Debug("caller disconnected while sending a refused body")
		}
	}
	o.Meter.increment("side_unauthorized_total")
	o.reject(w, id, http.StatusUnauthorized, "key is missing or unknown", 0)
}

// isTenantOutdated reports whether a request must not run because the sender has read no configuration since the tenants
// changed. The sender's check of the key may be wrong then. It is used at once if the tenant has been removed, and
// otherwise after outdatedGrace, since every change reaches some nodes later than others.
func (v *MeshView) isTenantOutdated(name, position string) bool {
	since := v.tenantsSince.Load()
	sent, _, err := parsePosition(position)
	if err != nil || since == nil || sent >= since.version || v.tenants() == nil {
		return false
	}
	_, known := v.tenants().ByName(name)
	return !known || v.clock.Since(since.at) > outdatedGrace
}

// recordTenants records since when the tenants of a table are in force.
func (v *MeshView) recordTenants(t *route.Table) {
	if old := v.tenantsSince.Load(); old == nil || old.directory != t.Tenants() {
		v.tenantsSince.Store(&tenantsSince{t.Tenants(), t.Config().Version, v.clock.Now()})
	}
}

// awaitTenants returns the configuration in force. If it has tenants and the process was paused, it waits until the
// configuration was read again, so that no key is accepted that was removed in the pause.
func (v *MeshView) awaitTenants(ctx context.Context, table *route.Table) *route.Table {
	if table.Tenants() == nil {
		return table
	}
	v.resume.await(ctx, v.clock)
	return v.Table()
}

func (v *MeshView) hasTenants() bool { return v.tenants() != nil }

// tenants returns the tenants of the configuration in force, or nil if it has none.
func (v *MeshView) tenants() *tenant.Directory {
	if t := v.Table(); t != nil {
		return t.Tenants()
	}
	return nil
}
