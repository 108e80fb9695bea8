package berylexplain_test

import (
	"bytes"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylexplain"
)

const (
	aboutQ1     = `{"host":"h1","level":"info","msg":"request: ended","request":"q1","time":"2026-03-05T22:29:33.000Z"}`
	stateChange = `{"host":"h1","level":"info","msg":"store: lost","prefix":"op/","time":"2026-03-05T22:29:32.000Z"}`
	aboutQ2     = `{"host":"h1","level":"info","msg":"request: ended","request":"q2","time":"2026-03-05T22:29:33.000Z"}`
)

func TestRead(t *testing.T) {
	for _, tt := range []struct {
		name, log  string
		kept, read int
	}{
		{"lines with the id and state changes are kept", aboutQ1 + "\n" + stateChange + "\n" + aboutQ2 + "\n", 2, 3},
		{"no line feed at the end", aboutQ1, 1, 1},
		{"truncated in the middle of a line", stateChange + "\n" + aboutQ1[:60], 1, 2},
		{"truncated before the message", aboutQ1[:30], 0, 0},
		{"binary bytes", "\x00\xff{\x01\n" + aboutQ1 + "\n\xff\xfe", 1, 1},
		{"a long line that no host wrote", strings.Repeat("x", 3<<20) + "\n" + aboutQ1 + "\n", 1, 1},
		{"a line that is too long", `{"msg":"store: ` + strings.Repeat("x", 3<<20) + "\n" + stateChange + "\n", 1, 1},
		{"a collector's prefix", "  -1.2 front-1 " + aboutQ1 + "\n", 1, 1},
		{"the id within a longer one", strings.ReplaceAll(aboutQ1, "q1", "q11"), 0, 1},
		{"empty", "", 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lines, read, err := berylexplain.Read(strings.NewReader(tt.log), "q1")
			is.NoErr(err)
			is.Equal(len(lines), tt.kept)
			is.Equal(read, tt.read)
		})
	}
}

// TestReadOfAnIDThatIsEscaped looks for an ID that JSON escapes, so that its bytes in the log differ from the ID itself.
func TestReadOfAnIDThatIsEscaped(t *testing.T) {
	is := is.New(t)
	lines, _, err := berylexplain.Read(strings.NewReader(strings.ReplaceAll(aboutQ1, "q1", `a\u003cb\"c`)), `a<b"c`)
	is.NoErr(err)
	is.Equal(len(lines), 1)
}

// largeLog returns a log of about size bytes with the lines of a busy host. One line in each MB mentions the ID.
func largeLog(size int64) io.Reader {
	var block bytes.Buffer
	block.WriteString(aboutQ1 + "\n" + stateChange + "\n")
	for i := 0; block.Len() < 1<<20; i++ {
		fmt.Fprintf(&block, `{"first-ms":12,"host":"h1","level":"info","msg":"request: ended","outcome":"answered","ran":1,"request":"r-%d","route":"r","sends":1,"time":"2026-03-05T22:29:33.000Z","total-ms":400,"upstream":"i-1","waited-ms":0}`+"\n", i)
	}
	var parts []io.Reader
	for n := int64(0); n < size; n += int64(block.Len()) {
		parts = append(parts, bytes.NewReader(block.Bytes()))
	}
	return io.MultiReader(parts...)
}

// TestReadOfALargeLog finds an ID in a log of 256 MB with little memory.
func TestReadOfALargeLog(t *testing.T) {
	is := is.New(t)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	lines, read, err := berylexplain.Read(largeLog(256<<20), "q1")
	runtime.ReadMemStats(&after)
	is.NoErr(err)
	is.True(len(lines) >= 2*250)
	is.True(read > 1_000_000)
	is.True(after.TotalAlloc-before.TotalAlloc < 25<<20) // a quarter of the 100 MB allowed for a log of 1 GB
}

// BenchmarkRead measures how fast a log is searched; 1 GB must take at most 10 s.
func BenchmarkRead(b *testing.B) {
	const size = 256 << 20
	b.SetBytes(size)
	for b.Loop() {
		if _, _, err := berylexplain.Read(largeLog(size), "q1"); err != nil {
			b.Fatal(err)
		}
	}
}
