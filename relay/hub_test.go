package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"tanagershunt.example/shunt/mlog"
)

// Guards against nodes that stay behind: a record must reach every node of every failure domain within 10 s.
func TestSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 1, mlog.Limits{}, "a:12", "b:3", "c:1")
		defer m.stop()
		m.until(time.Minute, "join", func(h *Hub) bool { return h.table.Len() == 16 })
		for range 5 {
			offset := m.publish()
			t.Log("convergence", m.until(10*time.Second, "spread", at(offset)))
		}
	})
}
