package berylkey

import (
	"context"
	"io"
	"io/fs"
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// reloadInterval is how often Run checks the files for changes.
	reloadInterval = 5 * time.Second
	// maxFileBytes is the maximum size of a credential file.
	maxFileBytes = 1 << 16
	// groupAndOther masks the permissions of group and others, of which a key file must have none.
	groupAndOther = fs.FileMode(0o077)
)

// paths holds the paths of the credential files; all are empty for credentials created in memory.
type paths struct {
	ca   string
	cert string
	key  string
}

// fileState holds the modification times and sizes of the credential files, by which changes are detected.
type fileState [3]struct {
	modified time.Time
	size     int64
}

// Load reads the fleet's CA certificate and the host's certificate and key from PEM files.
//
// It returns an error if group or others have any permission on the key file, or if the host's certificate has expired or was
// not signed by the CA.
func Load(ca, cert, key string) (*Credentials, error) {
	c := &Credentials{paths: paths{ca: ca, cert: cert, key: key}}
	id, err := c.paths.read(time.Now())
	if err != nil {
		return nil, err
	}
	c.current.Store(id)
	return c, nil
}

// Reload reads the files again if they have changed and reports whether it installed new credentials. On an error the old
// credentials stay in use.
func (c *Credentials) Reload() (bool, error) {
	if c.paths == (paths{}) {
		return false, nil
	}
	now, err := c.paths.stat()
	if err != nil {
		return false, err
	}
	old := c.current.Load()
	if now == old.fileState {
		return false, nil
	}
	id, err := c.paths.read(time.Now())
	if err != nil {
		return false, err
	}
	if id.name != old.name {
		return false, errors.Newf("the new certificate is for %q and this host is %q", id.name, old.name)
	}
	c.current.Store(id)
	return true, nil
}

// Run reloads the files when they change, until ctx ends. It calls report with nil after each reload, and with an error when it
// differs from that of the last attempt.
func (c *Credentials) Run(ctx context.Context, report func(error)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	lastError := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := c.Reload()
		errorText := ""
		if err != nil {
			errorText = err.Error()
		}
		if changed || errorText != "" && errorText != lastError {
			report(err)
		}
		lastError = errorText
	}
}

// read reads, parses and verifies the files. The file state is taken before the files are read, so that a change during the read
// is noticed by the next Reload.
func (p paths) read(now time.Time) (*identity, error) {
	before, err := p.stat()
	if err != nil {
		return nil, err
	}
	info, err := os.Stat(p.key)
	if err != nil {
		return nil, errors.Wrap(err, "host key")
	}
	if mode := info.Mode().Perm(); mode&groupAndOther != 0 {
		return nil, errors.Newf("host key %s has mode %04o, but must be readable by its owner only; run chmod 600", p.key, mode)
	}
	ca, err := readBounded(p.ca)
	if err != nil {
		return nil, errors.Wrap(err, "CA certificate")
	}
	cert, err := readBounded(p.cert)
	if err != nil {
		return nil, errors.Wrap(err, "host certificate")
	}
	key, err := readBounded(p.key)
	if err != nil {
		return nil, errors.Wrap(err, "host key")
	}
	id, err := newIdentity(now, ca, KeyPair{Cert: cert, Key: key})
	if err != nil {
		return nil, errors.Wrapf(err, "%s, %s, %s", p.ca, p.cert, p.key)
	}
	id.fileState = before
	return id, nil
}

// stat returns the current state of the files.
func (p paths) stat() (fileState, error) {
	var s fileState
	for i, path := range []string{p.ca, p.cert, p.key} {
		info, err := os.Stat(path)
		if err != nil {
			return s, errors.Wrap(err, "credentials")
		}
		s[i].modified = info.ModTime()
		s[i].size = info.Size()
	}
	return s, nil
}

// readBounded reads a file of at most maxFileBytes.
func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxFileBytes {
		return nil, errors.Newf("%s is larger than %d bytes", path, maxFileBytes)
	}
	return text, nil
}
