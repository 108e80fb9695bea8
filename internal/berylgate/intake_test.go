package berylgate_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylgate"
)

// Guards against bodies that never end keeping out ordinary requests: they took the whole budget until the read timeout.
func TestBodiesThatNeverEndTakeNoRoom(t *testing.T) {
	is := is.New(t)
	_, base := startGate(t, berylgate.Config{Calls: answering(http.StatusOK, "application/json", "{}"), BodyBudget: 64 << 10})
	for range 8 {
		conn, err := net.Dial("tcp", base[len("http://"):])
		is.NoErr(err)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			testKey, 16<<10, strings.Repeat(" ", 16<<10-1))
		is.NoErr(err)
	}
	time.Sleep(100 * time.Millisecond)
	status := 0
	for end := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := sendInParts(base, "30", 0)
		if err == nil {
			status = response.StatusCode
		}
	}
	is.Equal(status, http.StatusOK)
}
