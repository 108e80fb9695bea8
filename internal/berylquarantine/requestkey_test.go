package berylquarantine_test

import (
	"testing"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylquarantine"
)

// Guards against a request that is not known when it comes again, and against two requests that are taken for one.
func TestRequestKeys(t *testing.T) {
	is := is.New(t)
	keys := func(caller, method, host, path, body string) []string {
		return berylquarantine.RequestKeys(caller, method, host, path, []byte(body))
	}
	first := keys("c", "POST", "h", "/a", "body")
	is.Equal(keys("c", "POST", "h", "/a", "body"), first)
	other := keys("d", "POST", "h", "/a", "body")
	is.Equal(other[0], first[0]) // the same address and body
	is.True(other[1] != first[1])
	for _, differs := range [][]string{
		keys("c", "GET", "h", "/a", "body"), keys("c", "POST", "i", "/a", "body"), keys("c", "POST", "h", "/b", "body"), keys("c", "POST", "h", "/a", "bodY"),
		keys("c", "POST", "h", "/abody", ""), keys("c", "POST", "h/a", "", "body"), keys("", "POST", "h", "/a", "bodyc"),
	} {
		is.True(differs[0] != first[0])
		is.True(differs[1] != first[1])
	}
}
