package state

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
)

// TestNewest guards against a snapshot that is read although chunks are missing, damaged or mixed with those of
// another snapshot, and against chunks larger than the log's record limit.
func TestNewest(t *testing.T) {
	const limit = 700
	var mixed []Chunk
	var whole [][]Chunk
	s := smallState(t)
	for range 4 {
		s = mustApply(t, s, publishRecord(s.hash.String(), epoch, s, nil))
		chunks, err := s.EncodeSnapshot(limit)
		if err != nil || len(chunks) < 3 {
			t.Fatal(len(chunks), err)
		}
		for _, c := range chunks {
			if data, err := json.Marshal(c); err != nil || len(data) > limit {
				t.Fatalf("chunk has %d bytes, error %v", len(data), err)
			}
		}
		whole = append(whole, chunks)
	}
	damaged := slices.Clone(whole[2])
	damaged[1].Data = append([]byte{damaged[1].Data[0] + 1}, damaged[1].Data[1:]...)
	newer := slices.Clone(whole[3])
	for i := range newer {
		newer[i].Schema++
	}
	for _, part := range [][]Chunk{whole[3][1:], whole[0], damaged, whole[1], whole[0][:2], newer} {
		mixed = append(part[:len(part):len(part)], mixed...)
	}
	best, ok := NewestSnapshot(mixed)
	if !ok || best[0].Offset != whole[1][0].Offset {
		t.Fatalf("found %v, %d chunks", ok, len(best))
	}
	if got, err := DecodeSnapshot(best); err != nil || got.hash.String() != best[0].Hash {
		t.Error(err)
	}
	for i, part := range [][]Chunk{nil, whole[0][1:], whole[0][:2], append(whole[0][:1:1], whole[1][1:]...)} {
		if _, err := DecodeSnapshot(part); !errors.Is(err, ErrIncompleteSnapshot) {
			t.Errorf("incomplete chunks %d: error %v", i, err)
		}
	}
	if _, err := DecodeSnapshot(damaged); err == nil || errors.Is(err, ErrIncompleteSnapshot) {
		t.Errorf("damaged chunk: error %v", err)
	}
	if _, err := DecodeSnapshot(newer); !errors.As(err, new(*SchemaError)) {
		t.Errorf("newer schema: error %v", err)
	}
	for i := range whole[0] {
		whole[0][i].Hash = whole[2][0].Hash
	}
	if _, err := DecodeSnapshot(whole[0]); err == nil {
		t.Error("a state with another hash was decoded")
	}
	if _, err := s.EncodeSnapshot(chunkOverheadBytes); err == nil {
		t.Error("a limit without room for data was accepted")
	}
}
