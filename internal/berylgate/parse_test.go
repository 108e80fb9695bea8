package berylgate

import (
	"encoding/json"
	"testing"
)

// FuzzParseModelCall compares the parser with encoding/json for every body that the parser accepts.
func FuzzParseModelCall(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","messages":[{"role":"user","content":"a\"}]"}],"stream":true,"max_tokens":4}`,
		`{"m\u006fdel":"\u00e9","messages":[1],"x":{"model":[{}]},"max_completion_tokens":0}`,
		" {\t\"messages\" : [ \"\\\\\" ] ,\n\"model\" : \"m\" } ",
		`{"model":"m","messages":[1],"stream":null,"max_tokens":null}`,
		`{}`, `{`, `[]`, `"model"`, `nul`, ``, `{"model":"m","messages":[1]}{}`,
		`{"model":"a","model":"b","messages":[1]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		call, refusal := parseModelCall(body, "messages")
		if refusal != nil {
			if refusal.Message == "" || refusal.Status == 0 {
				t.Fatalf("refusal without a reason: %+v", refusal)
			}
			return
		}
		var want map[string]json.RawMessage
		if err := json.Unmarshal(body, &want); err != nil {
			t.Fatalf("accepted what is not an object: %v", err)
		}
		var model string
		if err := json.Unmarshal(want["model"], &model); err != nil || model != call.model {
			t.Fatalf("model %q, encoding/json reads %s", call.model, want["model"])
		}
		if call.stream != (string(want["stream"]) == "true") {
			t.Fatalf("stream %t, encoding/json reads %s", call.stream, want["stream"])
		}
	})
}
