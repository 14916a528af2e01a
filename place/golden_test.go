package place_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"tanagershunt.example/shunt/place"
)

// randomCandidate returns a candidate whose server tells no pace.
func randomCandidate(r *rand.Rand) place.Candidate {
	millis := func(n int) time.Duration { return time.Duration(r.IntN(n*1000)) * time.Microsecond }
	c := place.Candidate{
		Local: r.IntN(3) > 0, Slots: 1 + r.IntN(12), Running: r.IntN(13), Queued: r.IntN(6), Age: millis(1500),
		Pending: r.IntN(8), Success: 0.05 + 0.95*r.Float64(),
	}
	if r.IntN(5) > 0 {
		c.Work = millis(400)
	}
	switch r.IntN(8) {
	case 0:
		c.ColdFor, c.ColdRate, c.Recent, c.Senders = millis(3000), 25*r.Float64(), r.IntN(4), 1+r.IntN(80)
	case 1:
		c.Estimated = millis(700)
	}
	return c
}

// TestChooseWithoutPace guards against an unnoticed change of placement where servers tell no pace: the choices for random
// inputs are those recorded.
func TestChooseWithoutPace(t *testing.T) {
	r := rand.New(rand.NewPCG(7, 11))
	var out bytes.Buffer
	for range 400 {
		list := make([]place.Candidate, 1+r.IntN(20))
		for i := range list {
			list[i] = randomCandidate(r)
		}
		request := place.Request{
			Work:   time.Duration(r.IntN(500_000)) * time.Microsecond,
			Target: time.Duration(r.IntN(1_500_000)-100_000) * time.Microsecond,
			Bytes:  r.IntN(20_000),
		}
		choice, _ := place.Choose(list, request, r.Float64())
		fmt.Fprintf(&out, "%d %.6f %s\n", choice.Index, choice.Cost, choice.MaxWait.Round(time.Microsecond))
	}
	goldie.New(t).Assert(t, "choices", out.Bytes())
}
