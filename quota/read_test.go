package quota_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"tanagershunt.example/shunt/quota"
)

// TestReadAll guards against a message that is truncated, accepted beyond its limit, or allocated by its announced
// length before it has arrived.
func TestReadAll(t *testing.T) {
	for _, test := range []struct {
		name                string
		size, length, limit int64
		budget              int64
		want                error
	}{
		{"empty", 0, 0, 10, 64 << 10, nil},
		{"length unknown", 100_000, -1, 1 << 20, 1 << 20, nil},
		{"length known", 100_000, 100_000, 1 << 20, 1 << 20, nil},
		{"exactly the limit", 100_000, -1, 100_000, 1 << 20, nil},
		{"beyond the limit", 100_001, -1, 100_000, 1 << 20, quota.ErrTooLarge},
		{"length beyond the limit", 5, 100_001, 100_000, 1 << 20, quota.ErrTooLarge},
		{"shorter than its length", 5, 6, 10, 64 << 10, io.ErrUnexpectedEOF},
		{"long length, little data", 5, 1 << 40, 1 << 41, 64 << 10, io.ErrUnexpectedEOF},
		{"beyond the budget", 100_000, -1, 1 << 20, 64 << 10, quota.ErrExhausted},
	} {
		t.Run(test.name, func(t *testing.T) {
			data := bytes.Repeat([]byte("x"), int(test.size))
			b := quota.New(test.budget)
			share := b.Open()
			got, err := quota.ReadAll(iotest.HalfReader(bytes.NewReader(data)), share, test.length, test.limit)
			if !errors.Is(err, test.want) {
				t.Fatalf("error %v, want %v", err, test.want)
			}
			if err == nil && !bytes.Equal(got, data) {
				t.Errorf("%d bytes, want %d", len(got), len(data))
			}
			share.Release()
			if used := b.Used(); used != 0 {
				t.Errorf("%d bytes in use at the end", used)
			}
		})
	}
}
