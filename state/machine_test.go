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
	// machine feeds two reducers from one log. The second is replaced by a decoded snapshot now and then.
	machine struct {
		first, second *State
		past          []*State // states from which writers make records
		pool          [][]byte // delayed records
		now           time.Time
		nextID        int
		moves         map[string]*oracleMove
		seen          map[string]bool
		covered       map[string]int
	}

	// oracleMove follows the rules for moves with plain values.
	oracleMove struct {
		version   shunt.Offset
		spec      conf.Move
		phase     Phase
		number    int
		share     float64
		last, end time.Time
	}
)

// TestReduction guards against reducers that diverge, records that take effect twice or out of turn, versions
// that decrease, references that dangle and snapshots that do not continue like the state they were made from.
func TestReduction(t *testing.T) {
	covered := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s := mustApply(t, new(State), publishRecord("base", epoch, new(State), baseObjects()))
		m := &machine{
			first: s, second: s, past: []*State{s}, now: epoch, covered: covered,
			moves: make(map[string]*oracleMove), seen: map[string]bool{"base": true},
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish":  func(t *rapid.T) { m.send(t, m.publish(t)) },
			"progress": func(t *rapid.T) { m.send(t, m.progress(t)) },
			"climb":    m.climb,
			"deliver":  m.deliver,
			"snapshot": m.snapshot,
		})
	})
	for _, event := range []string{
		"applied", "rejected", "conflict", "repeated", "ignored", "halt after completion", "move deleted", "snapshot",
	} {
		if covered[event] == 0 {
			t.Errorf("no record was or had %q: %v", event, covered)
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

// send delivers a record at once, later, both or never.
func (m *machine) send(t *rapid.T, data []byte) {
	fate := rapid.IntRange(0, 7).Draw(t, "fate")
	if fate == 0 {
		return
	}
	if fate <= 3 {
		m.pool = append(m.pool, data)
	}
	if fate >= 3 {
		m.append(t, data)
	}
}

// deliver appends one of the delayed records, in any order.
func (m *machine) deliver(t *rapid.T) {
	if len(m.pool) == 0 {
		t.Skip("no record")
	}
	i := rapid.IntRange(0, len(m.pool)-1).Draw(t, "record")
	data := m.pool[i]
	m.pool = slices.Delete(m.pool, i, i+1)
	m.send(t, data)
}

func (m *machine) at(t *rapid.T) time.Time {
	return m.now.Add(time.Duration(rapid.IntRange(-3, 3).Draw(t, "clock error")) * time.Second)
}

func (m *machine) publish(t *rapid.T) []byte {
	service := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service")
	version := service + rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "version")
	state := rapid.SampledFrom([]string{conf.DomainIn, conf.DomainOut}).Draw(t, "state")
	base := rapid.SampledFrom(m.past).Draw(t, "base")
	move := rapid.SampledFrom([]string{"m1", "m2"}).Draw(t, "move")
	deadline := m.now.Add(time.Duration(rapid.IntRange(5, 200).Draw(t, "deadline")) * time.Second)
	edits := []conf.Object{
		conf.New(move, &conf.Move{
			Service: service, From: m.first.ActiveVersion(service), To: version,
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
	m.nextID++
	return publishRecord(fmt.Sprint(m.nextID), m.at(t), base, set, remove...)
}

// progress makes a record of a move controller that may be behind.
func (m *machine) progress(t *rapid.T) []byte {
	moves := rapid.SampledFrom(m.past).Draw(t, "view").Moves()
	if len(moves) == 0 {
		t.Skip("no move")
	}
	v := rapid.SampledFrom(moves).Draw(t, "move")
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		return moveRecord(m.at(t), Halt{Move: v.Name, Version: v.Version, Reason: "test"})
	case 1:
		return moveRecord(m.at(t), Complete{Move: v.Name, Version: v.Version})
	default:
		share := rapid.SampledFrom([]float64{0.01, 0.03, 0.05, 0.25, 0.5, 1}).Draw(t, "share")
		step := Step{Move: v.Name, Version: v.Version, Number: len(v.Steps) + 1, Share: share}
		return moveRecord(m.at(t), step)
	}
}

// climb delivers the records with which a controller that is up to date takes a move to completion.
func (m *machine) climb(t *rapid.T) {
	for _, v := range m.first.Moves() {
		if v.Phase != PhasePending {
			continue
		}
		for i, share := range v.Spec.Ladder() {
			m.append(t, moveRecord(m.now, Step{Move: v.Name, Version: v.Version, Number: i + 1, Share: share}))
		}
		m.append(t, moveRecord(m.now, Complete{Move: v.Name, Version: v.Version}))
		m.send(t, moveRecord(m.at(t), Halt{Move: v.Name, Version: v.Version}))
	}
}

func (m *machine) snapshot(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "often") != 0 {
		t.Skip("slow")
	}
	chunks, err := m.second.Encode(600)
	if err != nil {
		t.Fatal(err)
	}
	if m.second, err = Decode(rapid.Permutation(chunks).Draw(t, "chunks")); err != nil {
		t.Fatal(err)
	}
	m.covered["snapshot"]++
}

func (m *machine) append(t *rapid.T, data []byte) {
	before := m.first
	next, out, err := before.Apply(before.offset+1, data)
	if err != nil {
		t.Fatal(err)
	}
	second, out2, err := m.second.Apply(before.offset+1, data)
	if err != nil || !reflect.DeepEqual(out, out2) || next.hash != second.hash {
		t.Fatalf(
			"offset %d: outcomes %+v and %+v, hashes %s and %s, error %v",
			next.offset,
			out,
			out2,
			next.hash,
			second.hash,
			err,
		)
	}
	m.first, m.second = next, second
	m.past = append(m.past, next)[max(0, len(m.past)-3):]
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "elapsed")) * time.Second)
	m.covered[string(out.Verdict)]++
	var r Record
	if err = json.Unmarshal(data, &r); err != nil {
		t.Fatal(err)
	}
	if r.Kind == KindPublish {
		m.checkPublish(t, r, before, out)
	} else if got, want := out.Verdict == VerdictApplied, m.oracle(r); got != want {
		t.Fatalf("offset %d: outcome %+v of %s, the oracle has %v", next.offset, out, data, want)
	}
	m.checkMoves(t)
	checkReferences(t, next)
}

func (m *machine) checkPublish(t *rapid.T, r Record, before *State, out Outcome) {
	if m.seen[r.ID] != (out.Verdict == VerdictRepeated) {
		t.Fatalf("publish %s seen before: %v, outcome %+v", r.ID, m.seen[r.ID], out)
	}
	m.seen[r.ID] = true
	change := conf.Diff(before.set, m.first.set)
	if out.Verdict != VerdictApplied && !change.Empty() {
		t.Fatalf("outcome %+v changed %+v", out, change)
	}
	changed := make(map[conf.Key]bool)
	for _, o := range slices.Concat(change.Added, change.Changed) {
		changed[o.Key()] = true
	}
	for o := range m.first.set.All() {
		want := before.Version(o.Key())
		if changed[o.Key()] {
			want = m.first.offset
		}
		if is := m.first.Version(o.Key()); is != want {
			t.Fatalf("offset %d: version of %s is %d instead of %d", m.first.offset, o.Key(), is, want)
		}
	}
	for _, o := range change.Added {
		if spec, ok := o.Spec.(*conf.Move); ok {
			m.moves[o.Name] = &oracleMove{version: m.first.offset, spec: *spec, phase: PhasePending}
		}
	}
	for _, key := range change.Deleted {
		if key.Kind == conf.KindMove {
			m.covered["move deleted"]++
			delete(m.moves, key.Name)
		}
	}
}

// oracle applies a record to the plain moves and reports whether it is valid.
func (m *machine) oracle(r Record) bool {
	var b Step // holds the fields of all three kinds that matter
	_ = json.Unmarshal(r.Body, &b)
	v := m.moves[b.Move]
	if v == nil || v.version != b.Version || v.phase == PhaseRolledBack {
		return false
	}
	done := v.phase == PhaseCompleted
	switch r.Kind {
	case KindHalt:
		for _, other := range m.moves {
			if done && other.spec.Service == v.spec.Service && other.version > v.version {
				return false
			}
		}
		if done && r.At.Sub(v.end) > 20*time.Second {
			return false
		}
		if done {
			m.covered["halt after completion"]++
		}
		v.phase = PhaseRolledBack
	case KindComplete:
		if done || v.share != 1 || v.spec.Deadline.Sub(r.At) < 10*time.Second {
			return false
		}
		v.phase, v.end = PhaseCompleted, r.At
	default:
		limit := map[float64]float64{0: 0.01, 0.01: 0.05, 0.03: 0.05, 0.05: 0.25, 0.25: 0.5, 0.5: 1}[v.share]
		if done || b.Number != v.number+1 || b.Share <= v.share || b.Share > limit ||
			!r.At.Before(v.spec.Deadline) || r.At.Before(v.last) {
			return false
		}
		v.phase, v.number, v.share, v.last = PhaseRunning, b.Number, b.Share, r.At
	}
	return true
}

func (m *machine) checkMoves(t *rapid.T) {
	list := m.first.Moves()
	for _, s := range list {
		if v := m.moves[s.Name]; v == nil || v.version != s.Version || v.phase != s.Phase || v.number != len(s.Steps) {
			t.Fatalf("move %+v, the oracle has %+v", s, v)
		}
	}
	if len(list) != len(m.moves) || len(list) != len(m.first.Objects(conf.KindMove)) {
		t.Fatalf("moves %v, the oracle has %v", list, m.moves)
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
