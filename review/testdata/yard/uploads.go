package main

import (
	"bytes"
	"io"
	"sync"
	"time"
)

// burstOfUploads lets users upload at once, each within the limits of the configuration: a large file and smaller ones.
// With the trouble there are half as many users more.
func burstOfUploads(y *yard) (int, error) {
	const (
		rounds        = 30
		largeMegabyte = 60
		smallMegabyte = 10
		smallAfter    = 800 * time.Millisecond // when most of the large file is in
		deadline      = 2 * time.Second
		freeDenials   = 5   // and one in
		denialShare   = 500 // of all requests
	)
	y.putConfig(1, deadline)
	if err := y.addNodes("zone-a shop", "zone-a front"); err != nil {
		return 0, err
	}
	u := &upstream{node: y.nodes[0], id: "i-1", version: "v1", born: time.Now().UnixMilli()}
	if err := u.start(); err != nil {
		return 0, err
	}
	time.Sleep(stable + time.Second)
	files := []int{largeMegabyte, smallMegabyte}
	if y.trouble {
		files = append(files, smallMegabyte)
	}
	large := bytes.Repeat([]byte("x"), largeMegabyte<<20)
	var mu sync.Mutex
	sent, denied, served := 0, 0, 0
	for range rounds {
		var wg sync.WaitGroup
		for _, megabytes := range files {
			wg.Go(func() {
				if megabytes == smallMegabyte {
					time.Sleep(smallAfter)
				}
				file := &file{data: large[:megabytes<<20]}
				got := newClient(y.nodes[1]).send("POST", "/up/file", file, deadline)
				y.logf("client got for a file of %d MiB: %s", megabytes, got)
				mu.Lock()
				defer mu.Unlock()
				sent++
				switch {
				case got.signed:
					served++
				case got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429:
					denied++
				}
			})
		}
		wg.Wait()
	}
	y.logf("%d uploads sent, %d served, %d denied as bad requests", sent, served, denied)
	switch {
	case served == 0:
		return notRun, nil
	case denied > freeDenials+sent/denialShare:
		return broken, nil
	}
	return held, nil
}

// file is a body that is sent at the rate of its user's link.
type file struct {
	data []byte
	sent int
}

const (
	megabyteTime = 20 * time.Millisecond
	pieceBytes   = 1 << 20
)

// Read implements io.Reader.
func (f *file) Read(p []byte) (int, error) {
	if f.sent == len(f.data) {
		return 0, io.EOF
	}
	if f.sent%pieceBytes == 0 {
		time.Sleep(megabyteTime)
	}
	end := min(len(f.data), f.sent/pieceBytes*pieceBytes+pieceBytes)
	n := copy(p, f.data[f.sent:end])
	f.sent += n
	return n, nil
}
