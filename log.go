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

// Errors of a Log. An error that is none of these says nothing about the effect of an append.
var (
	// ErrLogDown means that the log did not answer and nothing was appended.
	ErrLogDown = errors.New("log is down")
	// ErrLogBusy means that the log's rate limit refused the append and nothing was appended.
	ErrLogBusy = errors.New("log refused the append: rate limit")
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

	// Batch is the answer to a read.
	Batch struct {
		Entries []Entry
		First   Offset // first retained offset, Head+1 when the stream is empty
		Head    Offset // offset of the newest entry, 0 when nothing was ever appended
	}

	// TruncatedError means that the requested offset is older than the log's retention.
	TruncatedError struct {
		Stream string
		From   Offset
		First  Offset
	}

	// Log is the platform's append-only log service.
	Log interface {
		// Append adds entries to a stream in order and atomically, and returns the first one's offset.
		Append(ctx context.Context, stream string, data ...[]byte) (Offset, error)
		// Read returns up to limit entries from the given offset on. When there are none it waits up to
		// wait for the first to arrive, then returns a batch without entries. It returns a
		// *TruncatedError when from is below the first retained offset.
		Read(ctx context.Context, stream string, from Offset, limit int, wait time.Duration) (Batch, error)
	}
)

func (e *TruncatedError) Error() string {
	return fmt.Sprintf("stream %q is truncated: offset %d was requested, the first retained is %d",
		e.Stream, e.From, e.First)
}
