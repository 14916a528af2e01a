package meshd

import (
	"sync/atomic"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/shift"
)

// maxPosition is a position that only rises. It is safe for concurrent use, and its zero value is the zero position.
type maxPosition struct {
	p atomic.Pointer[shunt.Position]
}

func (m *maxPosition) load() shunt.Position {
	if p := m.p.Load(); p != nil {
		return *p
	}
	return shunt.Position{}
}

// raise sets the position unless the current one is at least as high.
func (m *maxPosition) raise(to shunt.Position) {
	for {
		old := m.p.Load()
		current := shunt.Position{}
		if old != nil {
			current = *old
		}
		if to.Compare(current) <= 0 || m.p.CompareAndSwap(old, &to) {
			return
		}
	}
}

// noteRestore records that the store was restored from an older copy, once for each era.
func (v *MeshView) noteRestore(era int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if era > v.restoredEra {
		v.restoredEra, v.restoredAt = era, v.clock.Now()
	}
}

// lastRestore returns when the latest restore of the store was noticed, zero if none was.
func (v *MeshView) lastRestore() time.Time {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.restoredAt
}

// hasSeenRestore reports whether the store was restored since this node started. Positions of an unknown era cannot be
// compared from then on.
func (v *MeshView) hasSeenRestore() bool { return !v.lastRestore().IsZero() }

// latestEra returns the highest era that this node or another one has read in the mesh topic.
func (v *MeshView) latestEra() int64 {
	return max(v.meshPosition.load().Era, v.peerMeshPosition.load().Era)
}

// followedEnd returns the end of the mesh topic as far as the node has read it, and whether r may replace the record of a
// service's move at that point. It is false if the node has read no record.
func (v *MeshView) followedEnd(service string, r shift.Record) (end shunt.Position, ok bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if m := v.moves[service]; m != nil && !r.CanReplace(m.Record) {
		return end, false
	}
	end = v.meshPosition.load()
	end.Offset++
	return end, end.Offset > 1
}

// position returns the configuration version and how far the mesh topic was read.
func (v *MeshView) position() (configVersion uint64, mesh shunt.Position) {
	if t := v.table.Load(); t != nil {
		configVersion = t.Config().Version
	}
	return configVersion, v.meshPosition.load()
}

// recordPeerPosition records the position of another node. A position of unknown era counts as one of the era of this node,
// unless the store was restored.
func (v *MeshView) recordPeerPosition(configVersion uint64, mesh shunt.Position) {
	known := mesh.Era > 0 || !v.hasSeenRestore()
	if mesh.Era == 0 {
		mesh.Era = v.meshPosition.load().Era
	}
	if known && mesh.Offset >= -1 && mesh.Offset <= maxOffset && mesh.Era >= 0 && mesh.Era <= shunt.MaxEra {
		v.peerMeshPosition.raise(mesh)
	}
	for old := v.peerConfigVersion.Load(); configVersion > old; old = v.peerConfigVersion.Load() {
		if v.peerConfigVersion.CompareAndSwap(old, configVersion) {
			return
		}
	}
}

func (v *MeshView) isConfigBehind() bool {
	config, _ := v.position()
	return config < v.peerConfigVersion.Load()
}

func (v *MeshView) isMeshBehind() bool {
	return v.meshPosition.load().Compare(v.peerMeshPosition.load()) < 0
}
