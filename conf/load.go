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

// Loader collects objects from files into a set and reports duplicates. Its zero value is ready to use.
type Loader struct {
	set       Set
	definedIn map[Key]string
	problems  []Problem
}

// Load reads all .json files of a directory and its subdirectories.
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

// Read adds the objects of one file: a sequence of JSON objects or arrays of objects. Objects that cannot be decoded
// are reported as problems; the error is a read error or a JSON syntax error.
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
	var object Object
	if err := object.UnmarshalJSON(data); err != nil {
		var decodeErr *DecodeError
		errors.As(err, &decodeErr)
		for _, p := range decodeErr.Problems {
			p.Text += fmt.Sprintf(" (file %q)", name)
			l.problems = append(l.problems, p)
		}
		return
	}
	if firstFile, ok := l.definedIn[object.Key()]; ok {
		text := fmt.Sprintf("defined in file %q and again in file %q", firstFile, name)
		l.problems = append(l.problems, Problem{object.Key().String(), "name", text})
		return
	}
	if l.definedIn == nil {
		l.definedIn = make(map[Key]string)
	}
	l.definedIn[object.Key()] = name
	l.set = l.set.With(object)
}
