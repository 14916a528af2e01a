package shunt

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Streams of the platform's log.
const (
	StreamConfig    = "config"
	StreamMembers   = "members"
	StreamCounts    = "counts"
	StreamSnapshots = "snapshots"
)

// Errors of a Log. After ErrAppendUnknown or any error not listed here it is unknown whether an append took effect.
var (
	// ErrLogUnavailable means that the log was unavailable and nothing was appended.
	ErrLogUnavailable = errors.New("log is down")
	// ErrLogRateLimited means that the append exceeded the log's rate limit and nothing was appended.
	ErrLogRateLimited = errors.New("log refused the append: rate limit")
	// ErrAppendUnknown means that the append may or may not have taken effect.
	ErrAppendUnknown = errors.New("outcome of the append is unknown")
	// ErrRecordTooLarge means that an entry exceeds the log's record limit and nothing was appended.
	ErrRecordTooLarge = errors.New("record exceeds the log's limit")
)

type (
	// Offset is the position of an entry in a stream. The first entry has offset 1; 0 means none.
	Offset uint64

	// Entry is one record of a stream.
	Entry struct {
		Offset Offset
		Data   []byte
	}

	// Batch is the result of a read.
	Batch struct {
		Entries []Entry
		First   Offset // first retained offset, Head+1 if the stream is empty
		Head    Offset // offset of the newest entry, 0 if nothing was ever appended
	}

	// TruncatedError means that the requested offset is no longer retained.
	TruncatedError struct {
		Stream string
		From   Offset
		First  Offset
	}

	// Log is the platform's append-only log service.
	Log interface {
		// Append atomically adds entries to a stream in the given order and returns the offset of the first one.
		Append(ctx context.Context, stream string, data ...[]byte) (Offset, error)
		// Read returns up to limit entries starting at the given offset. If there are none, it waits up to
		// wait for the first one, then returns a batch without entries. It returns a *TruncatedError if
		// from is below the first retained offset.
		Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
	}
)

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream %q is truncated: offset %d was requested, the first retained is %d",
		e.Stream, e.From, e.First)
}
