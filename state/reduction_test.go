package state

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
)

type (
	// simulation applies the same records to two states. One of them is sometimes replaced by its decoded snapshot.
	simulation struct {
		primary, restored *State
		recent            []*State // states on which writers base their records
		delayed           [][]byte // records not yet appended
		now               time.Time
		nextID            int
		moves             map[string]*modelMove
		publishedIDs      map[string]bool
		eventCounts       map[string]int
	}

	// modelMove is the reference model of a move.
	modelMove struct {
		version   shunt.Offset
		spec      conf.Move
		phase     Phase
		number    int
		share     float64
		last, end time.Time
	}
)

// TestReduction guards against reducers that diverge, records that take effect twice or out of order, versions
// that decrease, dangling references, and decoded snapshots that behave differently from the encoded state.
func TestReduction(t *testing.T) {
	eventCounts := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s := mustApply(t, new(State), publishRecord("base", epoch, new(State), baseObjects()))
		sim := &simulation{
			primary: s, restored: s, recent: []*State{s}, now: epoch, eventCounts: eventCounts,
			moves: make(map[string]*modelMove), publishedIDs: map[string]bool{"base": true},
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish":  func(t *rapid.T) { sim.sendUnreliably(t, sim.randomPublish(t)) },
			"progress": func(t *rapid.T) { sim.sendUnreliably(t, sim.randomMoveRecord(t)) },
			"climb":    sim.completeMoves,
			"deliver":  sim.appendDelayed,
			"snapshot": sim.reloadSnapshot,
		})
	})
	for _, event := range []string{
		"applied", "rejected", "conflict", "repeated", "ignored", "halt after completion", "move deleted", "snapshot",
	} {
		if eventCounts[event] == 0 {
			t.Errorf("event %q did not occur: %v", event, eventCounts)
		}
	}
}

func baseObjects() []conf.Object {
	list := []conf.Object{
		conf.New("d1", &conf.Domain{Region: "r"}), conf.New("d2", &conf.Domain{Region: "r"}),
	}
	for _, s := range []string{"a", "b"} {
		list = append(list, conf.New(s, &conf.Service{Version: s + "1"}), conf.New(s+"1", &conf.Version{Service: s}),
			conf.New(s+"2", &conf.Version{Service: s}), conf.New(s, &conf.Route{Service: s, Prefix: "/" + s}))
	}
	return list
}

// sendUnreliably appends a record at once, later, both or never.
func (sim *simulation) sendUnreliably(t *rapid.T, data []byte) {
	delivery := rapid.IntRange(0, 7).Draw(t, "fate")
	if delivery == 0 {
		return
	}
	if delivery <= 3 {
		sim.delayed = append(sim.delayed, data)
	}
	if delivery >= 3 {
		sim.append(t, data)
	}
}

// appendDelayed removes a random record from the delayed ones and sends it again.
func (sim *simulation) appendDelayed(t *rapid.T) {
	if len(sim.delayed) == 0 {
		t.Skip("no record")
	}
	i := rapid.IntRange(0, len(sim.delayed)-1).Draw(t, "record")
	data := sim.delayed[i]
	sim.delayed = slices.Delete(sim.delayed, i, i+1)
	sim.sendUnreliably(t, data)
}

// writerTime returns the time of a writer whose clock is up to 3 s off.
func (sim *simulation) writerTime(t *rapid.T) time.Time {
	return sim.now.Add(time.Duration(rapid.IntRange(-3, 3).Draw(t, "clock error")) * time.Second)
}

func (sim *simulation) randomPublish(t *rapid.T) []byte {
	service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
	version := service + rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version")
	state := rapid.SampledFrom([]string{conf.DomainIn, conf.DomainOut}).Draw(t, "state")
	base := rapid.SampledFrom(sim.recent).Draw(t, "base")
	move := rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "move")
	deadline := sim.now.Add(time.Duration(rapid.IntRange(5, 200).Draw(t, "deadline")) * time.Second)
	edits := []conf.Object{
		conf.New(move, &conf.Move{
			Service: service, From: sim.primary.ActiveVersion(service), To: version,
			Deadline: deadline, MinObserve: 1e9, Hold: conf.Duration(20 * time.Second),
		}),
		conf.New(version, &conf.Version{Service: rapid.SampledFrom([]string{service, service, "a"}).Draw(t, "owner")}),
		conf.New(service, &conf.Service{Version: version}),
		conf.New(
			rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route"),
			&conf.Route{Service: service, Prefix: "/" + version},
		),
		conf.New(rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "domain"), &conf.Domain{Region: "r", State: state}),
	}
	set := rapid.SliceOfNDistinct(rapid.SampledFrom(edits), 0, 2, conf.Object.Key).Draw(t, "set")
	var remove []string
	if key := rapid.SampledFrom(edits).Draw(t, "delete").Key(); len(set) == 0 {
		remove = []string{key.String()}
	}
	sim.nextID++
	return publishRecord(fmt.Sprint(sim.nextID), sim.writerTime(t), base, set, remove...)
}

// randomMoveRecord returns a record of a move controller whose state may lag.
func (sim *simulation) randomMoveRecord(t *rapid.T) []byte {
	moves := rapid.SampledFrom(sim.recent).Draw(t, "view").Moves()
	if len(moves) == 0 {
		t.Skip("no move")
	}
	v := rapid.SampledFrom(moves).Draw(t, "move")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return moveRecord(sim.writerTime(t), Halt{Move: v.Name, Version: v.Version, Reason: "test"})
	case 1:
		return moveRecord(sim.writerTime(t), Complete{Move: v.Name, Version: v.Version})
	default:
		share := rapid.SampledFrom([]float64{0.01, 0.03, 0.05, 0.25, 0.5, 1}).Draw(t, "share")
		step := Step{Move: v.Name, Version: v.Version, Number: len(v.Steps) + 1, Share: share}
		return moveRecord(sim.writerTime(t), step)
	}
}

// completeMoves appends the records with which a move controller with the current state completes a move, and
// sends a halt.
func (sim *simulation) completeMoves(t *rapid.T) {
	for _, v := range sim.primary.Moves() {
		if v.Phase != PhasePending {
			continue
		}
		for i, share := range v.Spec.ShareSteps() {
			sim.append(t, moveRecord(sim.now, Step{Move: v.Name, Version: v.Version, Number: i + 1, Share: share}))
		}
		sim.append(t, moveRecord(sim.now, Complete{Move: v.Name, Version: v.Version}))
		sim.sendUnreliably(t, moveRecord(sim.writerTime(t), Halt{Move: v.Name, Version: v.Version}))
	}
}

// reloadSnapshot replaces the restored state by its decoded snapshot.
func (sim *simulation) reloadSnapshot(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "often") != 0 {
		t.Skip("slow")
	}
	chunks, err := sim.restored.EncodeSnapshot(600)
	if err != nil {
		t.Fatal(err)
	}
	if sim.restored, err = DecodeSnapshot(rapid.Permutation(chunks).Draw(t, "chunks")); err != nil {
		t.Fatal(err)
	}
	sim.eventCounts["snapshot"]++
}

func (sim *simulation) append(t *rapid.T, data []byte) {
	before := sim.primary
	next, out, err := before.Apply(before.offset+1, data)
	if err != nil {
		t.Fatal(err)
	}
	restored, restoredOutcome, err := sim.restored.Apply(before.offset+1, data)
	if err != nil || !reflect.DeepEqual(out, restoredOutcome) || next.hash != restored.hash {
		t.Fatalf(
			"offset %d: outcomes %+v and %+v, hashes %s and %s, error %v",
			next.offset,
			out,
			restoredOutcome,
			next.hash,
			restored.hash,
			err,
		)
	}
	sim.primary, sim.restored = next, restored
	sim.recent = append(sim.recent, next)[max(0, len(sim.recent)-3):]
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "elapsed")) * time.Second)
	sim.eventCounts[string(out.Verdict)]++
	var r Record
	if err = json.Unmarshal(data, &r); err != nil {
		t.Fatal(err)
	}
	if r.Kind == KindPublish {
		sim.checkPublish(t, r, before, out)
	} else if got, want := out.Verdict == VerdictApplied, sim.applyToModel(r); got != want {
		t.Fatalf("offset %d: outcome %+v of %s, the model has %v", next.offset, out, data, want)
	}
	sim.checkMoves(t)
	checkReferences(t, next)
}

func (sim *simulation) checkPublish(t *rapid.T, r Record, before *State, out Outcome) {
	if sim.publishedIDs[r.ID] != (out.Verdict == VerdictRepeated) {
		t.Fatalf("publish %s repeated: %v, outcome %+v", r.ID, sim.publishedIDs[r.ID], out)
	}
	sim.publishedIDs[r.ID] = true
	change := conf.Diff(before.set, sim.primary.set)
	if out.Verdict != VerdictApplied && !change.Empty() {
		t.Fatalf("outcome %+v changed %+v", out, change)
	}
	changed := make(map[conf.Key]bool)
	for _, o := range slices.Concat(change.Added, change.Changed) {
		changed[o.Key()] = true
	}
	for o := range sim.primary.set.All() {
		want := before.Version(o.Key())
		if changed[o.Key()] {
			want = sim.primary.offset
		}
		if got := sim.primary.Version(o.Key()); got != want {
			t.Fatalf("offset %d: version of %s is %d instead of %d", sim.primary.offset, o.Key(), got, want)
		}
	}
	for _, o := range change.Added {
		if spec, ok := o.Spec.(*conf.Move); ok {
			sim.moves[o.Name] = &modelMove{version: sim.primary.offset, spec: *spec, phase: PhasePending}
		}
	}
	for _, key := range change.Deleted {
		if key.Kind == conf.KindMove {
			sim.eventCounts["move deleted"]++
			delete(sim.moves, key.Name)
		}
	}
}

// applyToModel applies a record to the modelled moves and reports whether it is valid.
func (sim *simulation) applyToModel(r Record) bool {
	var b Step // has the fields that matter of all three kinds
	_ = json.Unmarshal(r.Body, &b)
	v := sim.moves[b.Move]
	if v == nil || v.version != b.Version || v.phase == PhaseRolledBack {
		return false
	}
	completed := v.phase == PhaseCompleted
	switch r.Kind {
	case KindHalt:
		for _, other := range sim.moves {
			if completed && other.spec.Service == v.spec.Service && other.version > v.version {
				return false
			}
		}
		if completed && r.At.Sub(v.end) > 20*time.Second {
			return false
		}
		if completed {
			sim.eventCounts["halt after completion"]++
		}
		v.phase = PhaseRolledBack
	case KindComplete:
		if completed || v.share != 1 || v.spec.Deadline.Sub(r.At) < 10*time.Second {
			return false
		}
		v.phase, v.end = PhaseCompleted, r.At
	default:
		limit := map[float64]float64{0: 0.01, 0.01: 0.05, 0.03: 0.05, 0.05: 0.25, 0.25: 0.5, 0.5: 1}[v.share]
		if completed || b.Number != v.number+1 || b.Share <= v.share || b.Share > limit ||
			!r.At.Before(v.spec.Deadline) || r.At.Before(v.last) {
			return false
		}
		v.phase, v.number, v.share, v.last = PhaseRunning, b.Number, b.Share, r.At
	}
	return true
}

func (sim *simulation) checkMoves(t *rapid.T) {
	list := sim.primary.Moves()
	for _, s := range list {
		if v := sim.moves[s.Name]; v == nil || v.version != s.Version || v.phase != s.Phase ||
			v.number != len(s.Steps) {
			t.Fatalf("move %+v, the model has %+v", s, v)
		}
	}
	if len(list) != len(sim.moves) || len(list) != len(sim.primary.Objects(conf.KindMove)) {
		t.Fatalf("moves %v, the model has %v", list, sim.moves)
	}
}

func checkReferences(t *rapid.T, s *State) {
	for o := range s.set.All() {
		service, versions := o.Name, []string(nil)
		switch spec := o.Spec.(type) {
		case *conf.Domain:
			continue
		case *conf.Service:
			versions = []string{spec.Version, s.ActiveVersion(o.Name)}
		case *conf.Version:
			service = spec.Service
		case *conf.Route:
			service = spec.Service
		case *conf.Move:
			service, versions = spec.Service, []string{spec.From, spec.To}
		}
		if _, ok := s.set.Service(service); !ok {
			t.Fatalf("offset %d: %s refers to service %q", s.offset, o.Key(), service)
		}
		for _, version := range versions {
			if v, ok := s.set.Version(version); !ok || v.Service != service {
				t.Fatalf("offset %d: %s refers to version %q", s.offset, o.Key(), version)
			}
		}
	}
	for _, prefix := range []string{"/a", "/a1", "/a2", "/a3", "/b"} {
		var want string
		for _, o := range s.Objects(conf.KindRoute) {
			if o.Spec.(*conf.Route).Prefix == prefix {
				want = o.Name
			}
		}
		if got, _, _ := s.Match("GET", prefix+"/x"); got != want {
			t.Fatalf("offset %d: prefix %q leads to route %q instead of %q", s.offset, prefix, got, want)
		}
	}
}
