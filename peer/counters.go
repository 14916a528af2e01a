package peer

import (
	"maps"
	"sync"
)

const (
	received direction = iota
	sent
)

type (
	direction int

	// Traffic counts the bytes and messages of one method.
	Traffic struct {
		BytesIn, BytesOut       uint64
		MessagesIn, MessagesOut uint64
	}

	// Counters counts traffic by method, including the length prefixes of frames. The zero value is ready to
	// use; a nil pointer counts nothing.
	Counters struct {
		mu      sync.Mutex
		methods map[string]Traffic
	}
)

// maxMethods limits the number of distinct method names, which are supplied by other nodes. Further methods are
// counted as "other".
const maxMethods = 256

// Methods returns the traffic by method.
func (c *Counters) Methods() map[string]Traffic {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.methods)
}

// Total returns the traffic of all methods.
func (c *Counters) Total() Traffic {
	var sum Traffic
	for _, t := range c.Methods() {
		sum.BytesIn += t.BytesIn
		sum.BytesOut += t.BytesOut
		sum.MessagesIn += t.MessagesIn
		sum.MessagesOut += t.MessagesOut
	}
	return sum
}

func (c *Counters) add(method string, d direction, bytes int) {
	if c == nil || bytes == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.methods == nil {
		c.methods = make(map[string]Traffic)
	}
	if _, ok := c.methods[method]; !ok && len(c.methods) >= maxMethods {
		method = "other"
	}
	t := c.methods[method]
	if d == received {
		t.BytesIn += uint64(bytes)
		t.MessagesIn++
	} else {
		t.BytesOut += uint64(bytes)
		t.MessagesOut++
	}
	c.methods[method] = t
}
