// Package peer carries remote procedure calls between nodes: net/rpc with gob over TCP, with bounds on message
// size and concurrency, byte counters, and connections that are replaced when they fall silent.
package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Schema is the newest message schema that this program understands. A message of a newer schema is
	// refused with a *SchemaError, because its fields may mean something else.
	Schema = 1
	// DefaultMessageLimit is the default size limit of a message in bytes.
	DefaultMessageLimit = 1 << 20

	frameHeader   = 4
	writeTimeout  = 5 * time.Second
	schemaMessage = "message schema is newer than understood: "
)

type (
	// SchemaError means that the other node speaks a newer message schema.
	SchemaError struct{ Text string }

	// SizeError means that a message exceeds the size limit.
	SizeError struct {
		Size  int
		Limit int
	}

	// header precedes each message's body.
	header struct {
		Schema int
		Method string
		Seq    uint64
		Error  string
	}

	// wire reads and writes frames: a length and two gob values, header and body. The gob streams outlive
	// a frame, so that types are described once per connection. The length bounds what a peer can make
	// this process read and hold for one message.
	wire struct {
		conn  net.Conn
		limit int

		in      *bufio.Reader
		left    int // unread bytes of the current frame
		size    int // size of the current frame
		dec     *gob.Decoder
		hdr     header
		gotLast atomic.Int64 // time of the last byte received, in nanoseconds since the epoch

		mu  sync.Mutex
		out bytes.Buffer
		enc *gob.Encoder
	}
)

var errTruncatedFrame = errors.New("message is longer than its frame")

func (e *SchemaError) Error() string { return e.Text }

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

func newWire(conn net.Conn, limit int) *wire {
	w := &wire{conn: conn, limit: limit, in: bufio.NewReader(conn)}
	w.dec = gob.NewDecoder(w)
	w.enc = gob.NewEncoder(&w.out)
	return w
}

// Read implements io.Reader for the gob decoder within the current frame.
func (w *wire) Read(p []byte) (int, error) {
	if w.left == 0 {
		return 0, errTruncatedFrame
	}
	n, err := w.in.Read(p[:min(len(p), w.left)])
	w.left -= n
	return n, err
}

// ReadByte implements io.ByteReader, without which the decoder would read ahead over the end of the frame.
func (w *wire) ReadByte() (byte, error) {
	if w.left == 0 {
		return 0, errTruncatedFrame
	}
	b, err := w.in.ReadByte()
	if err == nil {
		w.left--
	}
	return b, err
}

// next starts the next frame and decodes its header. Before the first byte arrives it returns io.EOF when
// the connection ends.
func (w *wire) next() error {
	if err := w.skip(); err != nil {
		return err
	}
	// Peek consumes nothing when a deadline passes in the middle of the length.
	size, err := w.in.Peek(frameHeader)
	if err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size)
	if _, err = w.in.Discard(frameHeader); err != nil {
		return err
	}
	if uint64(n) > uint64(w.limit) {
		return &SizeError{Size: int(n), Limit: w.limit}
	}
	w.left, w.size = int(n), int(n)+frameHeader
	w.gotLast.Store(time.Now().UnixNano())
	w.hdr = header{}
	return w.dec.Decode(&w.hdr)
}

// body decodes the body of the current frame; a nil target skips it. The type descriptions in a skipped body
// must still be read, hence the decoding into nothing.
func (w *wire) body(target any) error {
	if err := w.dec.Decode(target); err != nil {
		return err
	}
	w.gotLast.Store(time.Now().UnixNano())
	return w.skip()
}

// skip drops what is left of a frame.
func (w *wire) skip() error {
	n, err := w.in.Discard(w.left)
	w.left -= n
	return err
}

// write sends one frame and returns its size. A message above the limit is not sent; its type descriptions
// may be lost with it, so the connection must not be used further.
func (w *wire) write(h header, body any) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h.Schema = Schema
	w.out.Reset()
	w.out.Write(make([]byte, frameHeader))
	if err := w.enc.Encode(h); err != nil {
		return 0, err
	}
	if err := w.enc.Encode(body); err != nil {
		return 0, err
	}
	size := w.out.Len() - frameHeader
	if size > w.limit {
		return 0, &SizeError{Size: size, Limit: w.limit}
	}
	binary.BigEndian.PutUint32(w.out.Bytes(), uint32(size))
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := w.conn.Write(w.out.Bytes())
	if w.out.Cap() > bufferKept {
		w.out = bytes.Buffer{}
	}
	return n, err
}

// bufferKept is the largest write buffer that a connection keeps between messages: thousands of idle
// connections must not each hold a buffer of the largest message.
const bufferKept = 16 << 10

// schemaProblem returns the text of a SchemaError for a header, or "".
func (h header) schemaProblem() string {
	if h.Schema <= Schema {
		return ""
	}
	return fmt.Sprintf("%sgot %d, newest known is %d", schemaMessage, h.Schema, Schema)
}

// typed turns errors that crossed the connection as text back into their type.
func typed(err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) && strings.HasPrefix(string(remote), schemaMessage) {
		return &SchemaError{Text: string(remote)}
	}
	return err
}
