package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"
)

type (
	// figure is one measured value.
	figure struct {
		Name     string   `json:"figure"`
		Value    float64  `json:"value"`
		Unit     string   `json:"unit"`
		Baseline *float64 `json:"baseline,omitempty"`
		Target   *float64 `json:"target,omitempty"`
		Seed     uint64   `json:"seed"`
		Size     int      `json:"n"`
	}

	// figures collects figures and prints each as it comes. Its zero value discards the lines.
	figures struct {
		mu   sync.Mutex
		out  io.Writer
		list []figure
	}
)

// number returns a pointer to a value, for the optional fields of a figure.
func number(v float64) *float64 { return &v }

// add prints a figure and keeps it.
func (f *figures) add(x figure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, x)
	if f.out != nil {
		fmt.Fprintf(f.out, "figure=%s value=%.6g unit=%s baseline=%s target=%s seed=%d n=%d\n",
			x.Name, x.Value, x.Unit, optional(x.Baseline), optional(x.Target), x.Seed, x.Size)
	}
}

// write writes all figures as JSON to a file of a folder.
func (f *figures) write(folder string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := json.MarshalIndent(f.list, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "figures.json"), append(data, '\n'), 0o600)
}

func optional(v *float64) string {
	if v == nil {
		return "none"
	}
	return strconv.FormatFloat(*v, 'g', 6, 64)
}
