package berylconf

import (
	"encoding/json"

	"berylroad.example/berylroad/internal/beryljson"
)

// Parse decodes a configuration in JSON with comments and checks it. The error is a *beryljson.Problems that lists every problem.
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

// Encode returns the configuration as JSON, the form in which the platform's key-value service stores it.
func Encode(document *Document) ([]byte, error) {
	return json.Marshal(document)
}
