package pmap

import (
	"flag"
	"maps"
	"testing"

	"pgregory.net/rapid"
)

// A fixed seed makes each run use the same random cases.
var _ = flag.Set("rapid.seed", "1")

// TestMap guards against a change that modifies the original map, and against differences that DiffCandidates misses.
func TestMap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.IntRange(0, 600)
		versions := []Map[int, int]{{}}
		models := []map[int]int{{}}
		for i := range rapid.IntRange(1, 200).Draw(t, "changes") {
			base := rapid.IntRange(0, i).Draw(t, "from")
			m, model, k := versions[base], maps.Clone(models[base]), key.Draw(t, "key")
			if rapid.Bool().Draw(t, "delete") {
				m = m.Delete(k)
				delete(model, k)
			} else {
				m, model[k] = m.Set(k, i), i
			}
			versions, models = append(versions, m), append(models, model)
		}
		for i, m := range versions {
			if !maps.Equal(maps.Collect(m.All()), models[i]) || m.Len() != len(models[i]) {
				t.Fatalf("map %d has %v instead of %v", i, maps.Collect(m.All()), models[i])
			}
		}
		a, b := rapid.IntRange(0, len(models)-1).Draw(t, "a"), rapid.IntRange(0, len(models)-1).Draw(t, "b")
		found := make(map[int]bool)
		for k := range DiffCandidates(versions[a], versions[b]) {
			if found[k] {
				t.Fatalf("key %d is a candidate twice", k)
			}
			found[k] = true
		}
		for k := range 601 {
			v1, ok1 := models[a][k]
			v2, ok2 := models[b][k]
			if (v1 != v2 || ok1 != ok2) && !found[k] {
				t.Fatalf("key %d differs and is no candidate", k)
			}
		}
	})
}
