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

	// figures collects figures and prints each one to out when it is added. With a nil out nothing is printed.
	figures struct {
		mu   sync.Mutex
		out  io.Writer
		list []figure
	}
)

// float64Ptr returns a pointer to a value, for the optional fields of a figure.
func float64Ptr(v float64) *float64 { return &v }

// add stores a figure and prints it.
func (f *figures) add(fig figure) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = append(f.list, fig)
	if f.out != nil {
		fmt.Fprintf(f.out, "figure=%s value=%.6g unit=%s baseline=%s target=%s seed=%d n=%d\n",
			fig.Name, fig.Value, fig.Unit, formatOptional(fig.Baseline), formatOptional(fig.Target), fig.Seed, fig.Size)
	}
}

// write writes all figures as JSON to figures.json in a folder.
func (f *figures) write(folder string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := json.MarshalIndent(f.list, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "figures.json"), append(data, '\n'), 0o600)
}

func formatOptional(v *float64) string {
	if v == nil {
		return "none"
	}
	return strconv.FormatFloat(*v, 'g', 6, 64)
}
