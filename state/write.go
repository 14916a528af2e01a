package state

import (
	"encoding/json"
	"fmt"
	"time"

	"tanagershunt.example/shunt"
	"tanagershunt.example/shunt/conf"
)

// NewRecord returns the JSON form of a record with the given body. Only publish records need an identifier.
func NewRecord(kind, id, node string, at time.Time, body any) ([]byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("encode body of %s record: %w", kind, err)
	}
	return json.Marshal(Record{Schema: Schema, Kind: kind, ID: id, At: at, Node: node, Body: raw})
}

// NewPublish returns a publish that sets and deletes objects, with their versions in this state as the base.
func (s *State) NewPublish(set []conf.Object, remove []string) Publish {
	p := Publish{Base: make(map[string]shunt.Offset, len(set)+len(remove)), Set: set, Delete: remove}
	for _, o := range set {
		p.Base[o.Key().String()] = s.Version(o.Key())
	}
	for _, text := range remove {
		if key, err := conf.ParseKey(text); err == nil {
			p.Base[text] = s.Version(key)
		}
	}
	return p
}
