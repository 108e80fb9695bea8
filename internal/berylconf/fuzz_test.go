package berylconf

import (
	"os"
	"path/filepath"
	"testing"
)

// FuzzParse checks that a configuration that Parse accepts is accepted again after Encode.
func FuzzParse(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.json")
	for _, name := range files {
		if data, err := os.ReadFile(name); err == nil {
			f.Add(data)
		}
	}
	f.Add([]byte("{/* empty */}"))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Parse("file", data)
		if err != nil {
			return
		}
		written, err := Encode(document)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse("file", written); err != nil {
			t.Fatalf("an accepted configuration is refused after encoding: %v\n%s", err, written)
		}
	})
}
