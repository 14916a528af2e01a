package params

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// checkDuplicates returns an error if an object contains a field name twice, ignoring case. encoding/json also ignores
// case, and would silently use the last value.
func checkDuplicates(data []byte) error {
	return checkValue(json.NewDecoder(bytes.NewReader(data)), "")
}

func checkValue(d *json.Decoder, path string) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	switch token {
	case json.Delim('{'):
		return checkObject(d, path)
	case json.Delim('['):
		for d.More() {
			if err = checkValue(d, path+"[]"); err != nil {
				return err
			}
		}
		_, err = d.Token()
		return err
	}
	return nil
}

func checkObject(d *json.Decoder, path string) error {
	seen := make(map[string]bool)
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		name, ok := token.(string)
		if !ok {
			return fmt.Errorf("name of a field of %q is no string", path)
		}
		if path != "" {
			name = path + "." + name
		}
		if seen[strings.ToLower(name)] {
			return &FieldError{name, "", "stands twice"}
		}
		seen[strings.ToLower(name)] = true
		if err := checkValue(d, name); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}
