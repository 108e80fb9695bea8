package beryljob

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"
)

const (
	// maxInputBytes is the largest input file, in bytes, that fits one record in the platform's service.
	maxInputBytes = 256 << 10
	// maxItems is the largest number of items in one input file.
	maxItems         = 1000
	maxCustomIDBytes = 512
)

// endpoints are the request paths that items may have.
var endpoints = [...]string{"/v1/chat/completions", "/v1/completions"}

// parseInput parses an input file of one JSON item per line. Its error names the first line and field that is invalid.
func parseInput(data []byte) ([]Item, error) {
	if !utf8.Valid(data) {
		return nil, fmt.Errorf("the file is not UTF-8; convert it and send it again")
	}
	var items []Item
	lineOf := map[string]int{} // line numbers by custom_id
	number := 0
	for line := range bytes.Lines(data) {
		number++
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		item, err := parseItem(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", number, err)
		}
		if first, duplicate := lineOf[item.CustomID]; duplicate {
			return nil, fmt.Errorf("line %d: custom_id %q stands on line %d too; make each unique", number, item.CustomID, first)
		}
		lineOf[item.CustomID] = number
		items = append(items, item)
		if len(items) > maxItems {
			return nil, fmt.Errorf("line %d: more than %d items; split the file", number, maxItems)
		}
	}
	if len(items) == 0 {
		return nil, fmt.Errorf("the file holds no items; put one JSON object on each line")
	}
	return items, nil
}

func parseItem(line []byte) (Item, error) {
	var item Item
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&item); err != nil {
		return item, fmt.Errorf("not a batch item: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	switch {
	case item.CustomID == "" || len(item.CustomID) > maxCustomIDBytes:
		return item, fmt.Errorf("custom_id must have from 1 to %d bytes", maxCustomIDBytes)
	case item.Method != "POST":
		return item, fmt.Errorf("method must be POST")
	case !slices.Contains(endpoints[:], item.URL):
		return item, fmt.Errorf("url must be one of %s", strings.Join(endpoints[:], ", "))
	case len(item.Body) == 0 || item.Body[0] != '{':
		return item, fmt.Errorf("body must be an object")
	}
	var head struct {
		Model  string `json:"model"`
		Stream bool   `json:"stream"`
	}
	if err := json.Unmarshal(item.Body, &head); err != nil {
		return item, fmt.Errorf("body: %s", strings.TrimPrefix(err.Error(), "json: "))
	}
	if head.Model == "" {
		return item, fmt.Errorf("body.model is missing")
	}
	if head.Stream {
		return item, fmt.Errorf("body.stream must be false in a batch")
	}
	return item, nil
}
