package state

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
)

const (
	// chunkOverheadBytes is an upper bound of the JSON size of a chunk without its data.
	chunkOverheadBytes = 512
	// maxDumpBytes bounds the decompressed size of a snapshot, so that a corrupt one cannot exhaust the 256 MB of memory
	// that a node has.
	maxDumpBytes = 64 << 20
)

type (
	// Chunk is a part of an encoded state. Its JSON form is a record of the snapshots stream.
	Chunk struct {
		Schema int          `json:"schema"`
		Offset shunt.Offset `json:"offset"` // of the state
		Index  int          `json:"index"`  // from 0
		Total  int          `json:"total"`
		Hash   string       `json:"hash"` // of the state
		Sum    string       `json:"sum"`  // SHA-256 of the data of all chunks; distinguishes encodings by different writers
		Data   []byte       `json:"data"`
	}

	// dump is the JSON form of a state in a snapshot. Objects are sorted by key, moves by name, and outcomes are in
	// log order, so that equal states have equal dumps.
	dump struct {
		Objects  []dumpObject            `json:"objects"`
		Moves    []*MoveStatus           `json:"moves"`
		Services map[string]serviceState `json:"services"`
		DomainIn map[string]time.Time    `json:"domainIn"`
		Outcomes []Outcome               `json:"outcomes"`
	}

	dumpObject struct {
		Version shunt.Offset `json:"version"`
		Object  conf.Object  `json:"object"`
	}

	// snapshotKey identifies the snapshot to which a chunk belongs.
	snapshotKey struct {
		offset shunt.Offset
		total  int
		hash   string
		sum    string
	}
)

// ErrIncompleteSnapshot means that chunks of a snapshot are missing or that chunks of several snapshots are mixed.
var ErrIncompleteSnapshot = errors.New("snapshot is incomplete")

// EncodeSnapshot returns the state as chunks whose JSON forms have at most limit bytes each.
func (s *State) EncodeSnapshot(limit int) ([]Chunk, error) {
	size := (limit - chunkOverheadBytes) / 4 * 3 // base64 encodes 3 bytes as 4
	if size <= 0 {
		return nil, fmt.Errorf("chunk limit %d is not above %d", limit, chunkOverheadBytes)
	}
	data, err := s.dump().encode()
	if err != nil {
		return nil, fmt.Errorf("encode state: %w", err)
	}
	sum := checksum(data)
	parts := slices.Collect(slices.Chunk(data, size))
	chunks := make([]Chunk, len(parts))
	for i, part := range parts {
		chunks[i] = Chunk{
			Schema: Schema, Offset: s.offset, Index: i, Total: len(parts),
			Hash: s.hash.String(), Sum: sum, Data: part,
		}
	}
	return chunks, nil
}

// DecodeSnapshot returns the state encoded in the chunks of one snapshot, which may be in any order. The error wraps
// ErrIncompleteSnapshot if chunks are missing and is a *SchemaError if a newer program wrote them.
func DecodeSnapshot(chunks []Chunk) (*State, error) {
	if len(chunks) == 0 {
		return nil, ErrIncompleteSnapshot
	}
	c := chunks[0]
	if c.Schema > Schema {
		return nil, &SchemaError{Offset: c.Offset, Schema: c.Schema}
	}
	data, err := joinChunks(chunks)
	if err != nil {
		return nil, err
	}
	d, err := decodeDump(data)
	if err != nil {
		return nil, fmt.Errorf("snapshot at offset %d: %w", c.Offset, err)
	}
	s := d.restore(c.Offset)
	if got := s.hash.String(); got != c.Hash {
		return nil, fmt.Errorf("snapshot at offset %d: hash is %q instead of %q", c.Offset, got, c.Hash)
	}
	return s, nil
}

// NewestSnapshot returns the chunks of the newest complete and undamaged snapshot. The given chunks may be of several
// snapshots, in any order and repeated. Snapshots that only a newer program can read are skipped.
func NewestSnapshot(chunks []Chunk) ([]Chunk, bool) {
	groups := make(map[snapshotKey]map[int]Chunk)
	for _, c := range chunks {
		key := c.snapshotKey()
		if groups[key] == nil {
			groups[key] = make(map[int]Chunk)
		}
		if _, ok := groups[key][c.Index]; !ok && c.Schema <= Schema {
			groups[key][c.Index] = c
		}
	}
	var best []Chunk
	for key, parts := range groups {
		if best != nil && cmp.Or(cmp.Compare(best[0].Offset, key.offset), cmp.Compare(best[0].Sum, key.sum)) > 0 {
			continue
		}
		list := make([]Chunk, 0, len(parts))
		for _, c := range parts {
			list = append(list, c)
		}
		if _, err := joinChunks(list); err == nil {
			slices.SortFunc(list, byIndex)
			best = list
		}
	}
	return best, best != nil
}

func (c Chunk) snapshotKey() snapshotKey { return snapshotKey{c.Offset, c.Total, c.Hash, c.Sum} }

func byIndex(a, b Chunk) int { return cmp.Compare(a.Index, b.Index) }

// joinChunks returns the data of a snapshot, or an error if it is incomplete or its checksum differs.
func joinChunks(chunks []Chunk) ([]byte, error) {
	sorted := slices.SortedFunc(slices.Values(chunks), byIndex)
	var data []byte
	for i, c := range sorted {
		if c.Index != i || c.snapshotKey() != sorted[0].snapshotKey() {
			return nil, fmt.Errorf(
				"%w: chunk %d of offset %d where chunk %d is expected",
				ErrIncompleteSnapshot,
				c.Index,
				c.Offset,
				i,
			)
		}
		data = append(data, c.Data...)
	}
	if len(sorted) == 0 || len(sorted) != sorted[0].Total {
		return nil, fmt.Errorf("%w: %d chunks", ErrIncompleteSnapshot, len(sorted))
	}
	if sum := checksum(data); sum != sorted[0].Sum {
		return nil, fmt.Errorf("snapshot at offset %d: data has checksum %q instead of %q",
			sorted[0].Offset, sum, sorted[0].Sum)
	}
	return data, nil
}

func (d *dump) encode() ([]byte, error) {
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := json.NewEncoder(z).Encode(d); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

func decodeDump(data []byte) (*dump, error) {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, err
	}
	var d dump
	if err := json.NewDecoder(io.LimitReader(z, maxDumpBytes)).Decode(&d); err != nil {
		return nil, err
	}
	return &d, nil
}

func checksum(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
