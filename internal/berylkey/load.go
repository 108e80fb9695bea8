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
	reloadInterval = 5 * time.Second
	maxFileBytes   = 1 << 16
	groupAndOther  = fs.FileMode(0o077)
)

// paths names the files that credentials were loaded from; all are empty for credentials made in memory.
type paths struct {
	ca   string
	cert string
	key  string
}

// fileState tells one state of the files from another.
type fileState [3]struct {
	modified time.Time
	size     int64
}

// Load reads credentials from the files of the fleet's CA certificate and of the host's certificate and key, all in PEM.
//
// It returns an error for a key file that group or others can read, and for a certificate that is expired or foreign.
func Load(ca, cert, key string) (*Credentials, error) {
	c := &Credentials{paths: paths{ca: ca, cert: cert, key: key}}
	id, err := c.paths.read(time.Now())
	if err != nil {
		return nil, err
	}
	c.current.Store(id)
	return c, nil
}

// Reload reads the files again if they have changed and says whether it did; on an error the old credentials stay.
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

// Run reloads the files when they change until the context ends, and reports each reload (nil) and each new error.
func (c *Credentials) Run(ctx context.Context, report func(error)) {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	last := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		changed, err := c.Reload()
		text := ""
		if err != nil {
			text = err.Error()
		}
		if changed || text != "" && text != last {
			report(err)
		}
		last = text
	}
}

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
		return nil, errors.Newf("host key %s has mode %04o and must be readable by its owner only; run chmod 600", p.key, mode)
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
	id, err := newIdentity(now, ca, Pair{Cert: cert, Key: key})
	if err != nil {
		return nil, errors.Wrapf(err, "%s, %s, %s", p.ca, p.cert, p.key)
	}
	id.fileState = before
	return id, nil
}

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
