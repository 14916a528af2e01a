package conf

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path"
)

// Loader collects objects from files into a set and finds those defined twice. Its zero value is ready to use.
type Loader struct {
	set      Set
	source   map[Key]string
	problems []Problem
}

// Load reads all files of a folder whose names end in .json, including those in subfolders.
func Load(folder fs.FS) (Set, []Problem, error) {
	var l Loader
	err := fs.WalkDir(folder, ".", func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || path.Ext(name) != ".json" {
			return err
		}
		data, err := fs.ReadFile(folder, name)
		if err != nil {
			return err
		}
		return l.Read(name, bytes.NewReader(data))
	})
	set, problems := l.Result()
	return set, problems, err
}

// Read adds the objects of one file: any number of JSON objects or arrays of them, one after the other.
// Objects that cannot be decoded become problems; the error is that of the reader or of the JSON syntax.
func (l *Loader) Read(name string, r io.Reader) error {
	d := json.NewDecoder(r)
	for {
		var value json.RawMessage
		if err := d.Decode(&value); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("file %q: %w", name, err)
		}
		items := []json.RawMessage{value}
		if value[0] == '[' {
			if err := json.Unmarshal(value, &items); err != nil {
				return fmt.Errorf("file %q: %w", name, err)
			}
		}
		for _, item := range items {
			l.add(name, item)
		}
	}
}

// Result returns the objects read so far and the problems found.
func (l *Loader) Result() (Set, []Problem) {
	sortProblems(l.problems)
	return l.set, l.problems
}

func (l *Loader) add(name string, data []byte) {
	var o Object
	if err := o.UnmarshalJSON(data); err != nil {
		var fault *DecodeError
		errors.As(err, &fault)
		for _, p := range fault.Problems {
			p.Text += fmt.Sprintf(" (file %q)", name)
			l.problems = append(l.problems, p)
		}
		return
	}
	if first, ok := l.source[o.Key()]; ok {
		text := fmt.Sprintf("defined in file %q and again in file %q", first, name)
		l.problems = append(l.problems, Problem{o.Key().String(), "name", text})
		return
	}
	if l.source == nil {
		l.source = make(map[Key]string)
	}
	l.source[o.Key()] = name
	l.set = l.set.With(o)
}
