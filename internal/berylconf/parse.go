package berylconf

import (
	"encoding/json"

	"berylroad.example/berylroad/internal/beryljson"
)

// Parse reads a configuration in JSON with comments and checks it; the error is a *beryljson.Problems that names every problem.
func Parse(file string, data []byte) (*Document, error) {
	document := &Document{}
	positions, err := beryljson.Decode(file, data, document)
	if err != nil {
		return nil, err
	}
	if err := positions.Error(check(document, positions)); err != nil {
		return nil, err
	}
	return document, nil
}

// Encode writes the configuration in the form that the platform's service holds.
func Encode(document *Document) ([]byte, error) {
	return json.Marshal(document)
}
