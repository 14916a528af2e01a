package quota

import (
	"errors"
	"io"
)

// firstBytes is the memory that ReadAll allocates before it has received anything, whatever length is announced.
const firstBytes = 16 << 10

// ErrTooLarge means that a message exceeds its own limit.
var ErrTooLarge = errors.New("message exceeds the size limit")

// ReadAll reads a message to its end. Memory is taken from the share as the message arrives. Length is the announced
// size, negative if there is none, and limit the maximum size, both in bytes. The error is ErrTooLarge, ErrExhausted,
// io.ErrUnexpectedEOF for a message shorter than its length, or that of the source. A share that was given up in the last
// read does not fail it; see Share.Err.
func ReadAll(src io.Reader, share *Share, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLarge
	}
	size := int64(firstBytes)
	if length >= 0 {
		size = min(size, length+1)
	}
	if err := share.Grow(size); err != nil {
		return nil, err
	}
	for data := make([]byte, 0, size); ; {
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case int64(len(data)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF) && int64(len(data)) < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return data, nil
		case share.Err() != nil:
			// The error of the source, if there is one, is that of the interruption.
			return nil, share.Err()
		case err != nil:
			return nil, err
		case len(data) < cap(data):
			continue
		}
		grown := 2 * int64(cap(data))
		if length >= 0 {
			// One byte more than the length shows the end of the message without another allocation.
			grown = min(grown, max(length, int64(len(data)))+1)
		}
		if err := share.Grow(grown - int64(cap(data))); err != nil {
			return nil, err
		}
		data = append(make([]byte, 0, grown), data...)
	}
}
