package beryljob

import "testing"

// FuzzInput checks that every accepted input file has 1 to maxItems items, each with a body and a unique custom_id.
func FuzzInput(f *testing.F) {
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m"}}` + "\n"))
	f.Add([]byte("\r\n \n" + `{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m","stream":null}}`))
	f.Add([]byte(`{"custom_id":"a","method":"POST","url":"/v1/completions","body":{"model":"m"}}` + "\n{"))
	f.Add([]byte("\xff"))
	f.Fuzz(func(t *testing.T, data []byte) {
		items, err := parseInput(data)
		if err != nil {
			return
		}
		seen := make(map[string]bool)
		for _, item := range items {
			if item.CustomID == "" || seen[item.CustomID] || len(item.Body) == 0 {
				t.Fatalf("accepted %+v", item)
			}
			seen[item.CustomID] = true
		}
		if len(items) == 0 || len(items) > maxItems {
			t.Fatalf("accepted %d items", len(items))
		}
	})
}
