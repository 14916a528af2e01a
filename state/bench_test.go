package state

import (
	"fmt"
	"testing"
	"time"

	"tanagershunt.example/shunt/conf"
)

// largeState returns a state with 1,200 services and 10,044 objects: 44 failure domains, and for each service 2
// versions and about 5 routes.
func largeState(tb testing.TB) *State {
	var set []conf.Object
	for i := range 1200 {
		name := fmt.Sprintf("service-%d", i)
		set = append(set, conf.New(name, &conf.Service{Version: name + "-v1"}))
		for v := 1; v <= 2; v++ {
			set = append(set, conf.New(fmt.Sprintf("%s-v%d", name, v), &conf.Version{Service: name}))
		}
		for r := range 5 + i%3/2 {
			prefix := fmt.Sprintf("/%s/part-%d", name, r)
			set = append(set, conf.New(fmt.Sprintf("%s-r%d", name, r), &conf.Route{Service: name, Prefix: prefix}))
		}
		if i < 44 {
			set = append(set, conf.New(fmt.Sprintf("domain-%d", i), &conf.Domain{Region: "r1"}))
		}
	}
	return mustApply(tb, new(State), publishRecord("all", epoch, new(State), set))
}

func BenchmarkApplyPublish(b *testing.B) {
	s := largeState(b)
	for i := 0; b.Loop(); i++ {
		route := &conf.Route{Service: "service-7", Prefix: "/service-7/part-0", Timeout: conf.Duration(i + 1)}
		s = mustApply(b, s, publishRecord(fmt.Sprint(i), epoch, s, []conf.Object{conf.New("service-7-r0", route)}))
	}
	b.ReportMetric(float64(s.set.Len()), "objects")
}

func BenchmarkApplyStep(b *testing.B) {
	s := largeState(b)
	s = mustApply(b, s, publishRecord("m", epoch, s, []conf.Object{conf.New("m", &conf.Move{
		Service: "service-7", From: "service-7-v1", To: "service-7-v2", Deadline: epoch.Add(time.Hour),
	})}))
	data := moveRecord(epoch, Step{Move: "m", Version: s.offset, Number: 1, Share: 0.01})
	for b.Loop() {
		mustApply(b, s, data)
	}
}

func BenchmarkTarget(b *testing.B) {
	s := largeState(b)
	for b.Loop() {
		if _, err := s.Target("GET", "/service-77/part-3/orders/17", 0.5, epoch, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkSnapshot(b *testing.B) {
	s := largeState(b)
	var chunks []Chunk
	var err error
	for b.Loop() {
		if chunks, err = s.EncodeSnapshot(256 << 10); err != nil {
			b.Fatal(err)
		}
		if _, err = DecodeSnapshot(chunks); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(chunks)), "chunks")
}
