package berylaccount

import (
	"crypto/sha256"

	"github.com/cockroachdb/errors"
)

// Account is a client account.
type Account struct {
	// Name is unique among the accounts.
	Name string
	// Priority ranks the account's requests; 0 is the highest priority. It overrides the priority of a route.
	Priority int
	// RequestsPerSecond and Burst bound the account's requests over all hosts together; a zero rate means no limit.
	RequestsPerSecond float64
	Burst             float64
}

// keyHash is the SHA-256 hash of an API key.
type keyHash [sha256.Size]byte

// Directory holds the accounts of one configuration. It is immutable and safe for concurrent use. A nil Directory has no
// accounts.
type Directory struct {
	byName map[string]*Account
	byKey  map[keyHash]*Account
}

// Entry is an account with its API keys, from which a Directory is built.
type Entry struct {
	Account
	// Keys are the account's API keys in plain text.
	Keys []string
}

// NewDirectory returns the directory of the given accounts. It returns an error if an account has no name, if two have the
// same name, if a key is empty or if two accounts have the same key.
func NewDirectory(entries []Entry) (*Directory, error) {
	d := &Directory{byName: make(map[string]*Account, len(entries)), byKey: make(map[keyHash]*Account, 2*len(entries))}
	for i := range entries {
		account := entries[i].Account
		if account.Name == "" {
			return nil, errors.Newf("account %d has no name", i+1)
		}
		if d.byName[account.Name] != nil {
			return nil, errors.Newf("two accounts have the name %q", account.Name)
		}
		d.byName[account.Name] = &account
		for _, key := range entries[i].Keys {
			if key == "" {
				return nil, errors.Newf("account %q has an empty key", account.Name)
			}
			hash := keyHash(sha256.Sum256([]byte(key)))
			if other := d.byKey[hash]; other != nil && other.Name != account.Name {
				return nil, errors.Newf("accounts %q and %q have the same key", other.Name, account.Name)
			}
			d.byKey[hash] = &account
		}
	}
	return d, nil
}

// ByKey returns the account that holds an API key, or nil.
func (d *Directory) ByKey(key string) *Account {
	if d == nil || key == "" {
		return nil
	}
	return d.byKey[sha256.Sum256([]byte(key))]
}

// ByName returns the account of that name, or nil.
func (d *Directory) ByName(name string) *Account {
	if d == nil {
		return nil
	}
	return d.byName[name]
}

// Len returns the number of accounts.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
