package berylaccount

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against requests that run for the wrong account: a key names exactly the account that holds it.
func TestKeysOfAccounts(t *testing.T) {
	is := is.New(t)
	d, err := NewDirectory([]Entry{
		{Account: Account{Name: "a", RequestsPerSecond: 5, Burst: 7}, Keys: []string{"key-1", "key-2"}},
		{Account: Account{Name: "b", Priority: 1}},
	})
	is.NoErr(err)
	is.Equal(d.ByKey("key-1").Name, "a")
	is.Equal(d.ByKey("key-2"), d.ByName("a"))
	is.Equal(d.ByKey("key-3"), nil)
	is.Equal(d.ByKey(""), nil)
	is.Equal(d.ByName("b").Priority, 1)
	is.Equal(d.Len(), 2)
	var none *Directory
	is.Equal(none.ByKey("key-1"), nil)
	is.Equal(none.ByName("a"), nil)
	is.Equal(none.Len(), 0)
}

// Guards against a configuration that leaves open which account a key or a name means.
func TestAmbiguousAccounts(t *testing.T) {
	for name, entries := range map[string][]Entry{
		"no name":    {{Keys: []string{"k"}}},
		"name twice": {{Account: Account{Name: "a"}}, {Account: Account{Name: "a"}}},
		"key of two": {{Account: Account{Name: "a"}, Keys: []string{"k"}}, {Account: Account{Name: "b"}, Keys: []string{"k"}}},
		"empty key":  {{Account: Account{Name: "a"}, Keys: []string{""}}},
	} {
		if _, err := NewDirectory(entries); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if _, err := NewDirectory([]Entry{{Account: Account{Name: "a"}, Keys: []string{"k", "k"}}}); err != nil {
		t.Errorf("the same key twice in one account: %v", err)
	}
}
