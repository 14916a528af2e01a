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
	"io"
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
		frame   bytes.Buffer // unread part of the current frame
		size    int          // size of the current frame
		dec     *gob.Decoder
		hdr     header
		gotLast atomic.Int64 // time of the last byte received, in nanoseconds since the epoch

		mu  sync.Mutex
		out bytes.Buffer
		enc *gob.Encoder
	}
)

var (
	errTruncatedFrame = errors.New("message is longer than its frame")
	errIdle           = errors.New("connection is idle")
)

func (e *SchemaError) Error() string { return e.Text }

func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d", e.Size, e.Limit)
}

func newWire(conn net.Conn, limit int) *wire {
	w := &wire{conn: conn, limit: limit, in: bufio.NewReader(conn)}
	w.dec = gob.NewDecoder(&w.frame)
	w.enc = gob.NewEncoder(&w.out)
	return w
}

// next reads the next frame, checks it and decodes its header. It returns errIdle when the read deadline passes
// before the frame begins.
func (w *wire) next() error {
	// Peek consumes nothing when a deadline passes in the middle of the length.
	length, err := w.in.Peek(frameHeader)
	if isTimeout(err) {
		return errIdle
	}
	if err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length)
	if uint64(n) > uint64(w.limit) {
		return &SizeError{Size: int(n), Limit: w.limit}
	}
	if _, err = w.in.Discard(frameHeader); err != nil {
		return err
	}
	if w.frame.Cap() > bufferKept {
		w.frame = bytes.Buffer{}
	}
	w.frame.Reset()
	if _, err = io.CopyN(&w.frame, w.in, int64(n)); err != nil {
		return err
	}
	w.size = int(n) + frameHeader
	w.gotLast.Store(time.Now().UnixNano())
	if err = checkGob(w.frame.Bytes()); err != nil {
		return err
	}
	w.hdr = header{}
	return w.dec.Decode(&w.hdr)
}

// body decodes the body of the current frame; a nil target skips it. The type descriptions in a skipped body
// must still be read, hence the decoding into nothing.
func (w *wire) body(target any) error { return w.dec.Decode(target) }

// checkGob checks that the gob messages of a frame end with it. The decoder believes a message's length, up to
// 1 GB, and takes 10 MB at once before it reads the first byte.
func checkGob(data []byte) error {
	for len(data) > 0 {
		n, size := gobUint(data)
		if size == 0 || n > uint64(len(data)-size) {
			return errTruncatedFrame
		}
		data = data[uint64(size)+n:]
	}
	return nil
}

// gobUint reads an unsigned integer in gob's encoding (package encoding/gob, "Encoding Details"): below 128 one
// byte, else the negated count of the big-endian bytes that follow. Size 0 means that it is not valid.
func gobUint(data []byte) (n uint64, size int) {
	if data[0] < 0x80 {
		return uint64(data[0]), 1
	}
	count := -int(int8(data[0]))
	if count > 8 || len(data) < 1+count {
		return 0, 0
	}
	for _, b := range data[1 : 1+count] {
		n = n<<8 | uint64(b)
	}
	return n, 1 + count
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
