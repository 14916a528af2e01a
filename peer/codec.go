// Package peer implements remote procedure calls between nodes: net/rpc with gob over TCP, with limits on message
// size and concurrency, byte counters, and replacement of unresponsive connections.
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
	// Schema is the newest supported message schema. Messages of a newer schema are rejected with a
	// *SchemaError, because the meaning of their fields may differ.
	Schema = 1
	// DefaultMessageLimit is the default size limit of a message in bytes.
	DefaultMessageLimit = 1 << 20

	lengthPrefixBytes = 4
	writeTimeout      = 5 * time.Second
	schemaErrorPrefix = "message schema is newer than understood: "
)

type (
	// SchemaError reports a message schema newer than the receiver supports.
	SchemaError struct{ Text string }

	// SizeError reports a message above the size limit.
	SizeError struct {
		Size  int
		Limit int
	}

	// header precedes the body of each message. It is encoded with gob by field name.
	header struct {
		Schema int
		Method string
		Seq    uint64
		Error  string
	}

	// frameConn reads and writes frames: a length prefix followed by two gob values, header and body. The gob
	// streams span frames, so each type is described once per connection. The length is checked against the
	// limit, which bounds the memory that a peer can make this process allocate for one message.
	frameConn struct {
		conn  net.Conn
		limit int

		in           *bufio.Reader
		frame        bytes.Buffer // unread part of the current frame
		size         int          // size of the current frame
		dec          *gob.Decoder
		hdr          header
		lastReceived atomic.Int64 // time of the last complete frame, in nanoseconds since the epoch

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

func newFrameConn(conn net.Conn, limit int) *frameConn {
	fc := &frameConn{conn: conn, limit: limit, in: bufio.NewReader(conn)}
	fc.dec = gob.NewDecoder(&fc.frame)
	fc.enc = gob.NewEncoder(&fc.out)
	return fc
}

// readFrame reads and validates the next frame and decodes its header. It returns errIdle if the read deadline
// passes before the length prefix is complete.
func (fc *frameConn) readFrame() error {
	// Peek consumes nothing if the deadline passes within the length prefix.
	length, err := fc.in.Peek(lengthPrefixBytes)
	if isTimeout(err) {
		return errIdle
	}
	if err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(length)
	if uint64(n) > uint64(fc.limit) {
		return &SizeError{Size: int(n), Limit: fc.limit}
	}
	if _, err = fc.in.Discard(lengthPrefixBytes); err != nil {
		return err
	}
	if fc.frame.Cap() > maxKeptBuffer {
		fc.frame = bytes.Buffer{}
	}
	fc.frame.Reset()
	if err = fc.readPayload(int(n)); err != nil {
		return err
	}
	fc.size = int(n) + lengthPrefixBytes
	fc.lastReceived.Store(time.Now().UnixNano())
	if err = checkGob(fc.frame.Bytes()); err != nil {
		return err
	}
	fc.hdr = header{}
	return fc.dec.Decode(&fc.hdr)
}

// readPayload reads a frame of n bytes after its length prefix. The length may be false, so the memory for a long frame is
// taken once its beginning has arrived, and then at once.
func (fc *frameConn) readPayload(n int) error {
	first := min(n, maxKeptBuffer)
	if _, err := io.CopyN(&fc.frame, fc.in, int64(first)); err != nil {
		return err
	}
	if first == n {
		return nil
	}
	fc.frame.Grow(n - first + bytes.MinRead) // Buffer.ReadFrom grows a buffer with less than MinRead to spare
	_, err := io.CopyN(&fc.frame, fc.in, int64(n-first))
	return err
}

// decodeBody decodes the body of the current frame; a nil target discards it. A discarded body is still decoded,
// because it may contain type descriptions that later messages refer to.
func (fc *frameConn) decodeBody(target any) error { return fc.dec.Decode(target) }

// checkGob checks that the gob messages of a frame do not extend past its end. The decoder accepts any declared
// message length up to 8 GB (1 GB on 32-bit systems) and allocates up to 10 MB before it reads the first byte.
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

// gobUint decodes an unsigned integer in gob's encoding (package encoding/gob, "Encoding Details"): one byte if
// below 128, else the negated count of the big-endian bytes that follow. It returns size 0 for an invalid encoding.
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

// writeFrame sends one frame and returns its size. A message above the limit is not sent. The encoder does not
// repeat type descriptions dropped with the message, so the connection must be closed after any error.
func (fc *frameConn) writeFrame(h header, body any) (int, error) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	h.Schema = Schema
	fc.out.Reset()
	fc.out.Write(make([]byte, lengthPrefixBytes))
	if err := fc.enc.Encode(h); err != nil {
		return 0, err
	}
	if err := fc.enc.Encode(body); err != nil {
		return 0, err
	}
	size := fc.out.Len() - lengthPrefixBytes
	if size > fc.limit {
		return 0, &SizeError{Size: size, Limit: fc.limit}
	}
	binary.BigEndian.PutUint32(fc.out.Bytes(), uint32(size))
	if err := fc.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := fc.conn.Write(fc.out.Bytes())
	if fc.out.Cap() > maxKeptBuffer {
		fc.out = bytes.Buffer{}
	}
	return n, err
}

// maxKeptBuffer is the largest buffer in bytes that a connection keeps between messages. It prevents thousands of
// idle connections from each holding a buffer of the largest message.
const maxKeptBuffer = 16 << 10

// schemaProblem returns the text of a SchemaError if the header's schema is too new, else "".
func (h header) schemaProblem() string {
	if h.Schema <= Schema {
		return ""
	}
	return fmt.Sprintf("%sgot %d, newest known is %d", schemaErrorPrefix, h.Schema, Schema)
}

// typedError restores the type of a SchemaError that the remote node returned as text.
func typedError(err error) error {
	var remote rpc.ServerError
	if errors.As(err, &remote) && strings.HasPrefix(string(remote), schemaErrorPrefix) {
		return &SchemaError{Text: string(remote)}
	}
	return err
}
