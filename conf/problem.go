package conf

import "fmt"

// Problem is one validation error of a set of objects.
type Problem struct {
	Object string `json:"object"` // text form of the object's key
	Field  string `json:"field"`
	Text   string `json:"text"`
}

func (p Problem) String() string { return fmt.Sprintf("%s: %s: %s", p.Object, p.Field, p.Text) }
