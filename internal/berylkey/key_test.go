package berylkey_test

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"berylroad.example/berylroad/internal/berylkey"
)

// testFiles is a folder with a CA certificate and one host's certificate and key.
type testFiles struct {
	t      *testing.T
	folder string
	ca     berylkey.KeyPair
}

func newTestFiles(t *testing.T) testFiles {
	ca, err := berylkey.CreateCA(time.Now().AddDate(-3, 0, 0))
	is.New(t).NoErr(err)
	f := testFiles{t: t, folder: t.TempDir(), ca: ca}
	f.write("ca.pem", ca.Cert, 0o644)
	f.writeHost(time.Now(), "host-a")
	return f
}

func (f testFiles) write(name string, text []byte, mode os.FileMode) {
	path := filepath.Join(f.folder, name)
	is.New(f.t).NoErr(os.WriteFile(path, text, mode))
	is.New(f.t).NoErr(os.Chmod(path, mode))
}

// writeHost creates a host certificate as of the given time and writes it and its key to the folder.
func (f testFiles) writeHost(createdAt time.Time, name string) berylkey.KeyPair {
	pair, err := f.ca.CreateHost(createdAt, name, net.IPv4(127, 0, 0, 1))
	is.New(f.t).NoErr(err)
	f.write("host.pem", pair.Cert, 0o644)
	f.write("host.key", pair.Key, 0o600)
	return pair
}

func (f testFiles) load() (*berylkey.Credentials, error) {
	in := func(name string) string { return filepath.Join(f.folder, name) }
	return berylkey.Load(in("ca.pem"), in("host.pem"), in("host.key"))
}

func TestLoad(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(testFiles)
		want   string // part of the expected error text; empty if Load must succeed
	}{
		{name: "valid", change: func(testFiles) {}},
		{name: "expired", change: func(f testFiles) { f.writeHost(time.Now().AddDate(-2, 0, 0), "host-a") }, want: "expired at"},
		{name: "not yet valid", change: func(f testFiles) { f.writeHost(time.Now().AddDate(0, 0, 2), "host-a") }, want: "clock"},
		{name: "signed by another CA", change: func(f testFiles) { f.write("ca.pem", newTestFiles(f.t).ca.Cert, 0o644) }, want: "not signed by this fleet's CA"},
		{name: "key of another certificate", change: func(f testFiles) { f.write("host.key", f.ca.Key, 0o600) }, want: "does not belong"},
		{name: "CA certificate in place of the host's", change: func(f testFiles) { f.write("host.pem", f.ca.Cert, 0o644) }, want: "does not belong"},
		{name: "key readable by the group", change: func(f testFiles) { f.chmod("host.key", 0o640) }, want: "chmod 600"},
		{name: "key readable by others", change: func(f testFiles) { f.chmod("host.key", 0o604) }, want: "chmod 600"},
		{name: "no key", change: func(f testFiles) { f.remove("host.key") }, want: "no such file"},
		{name: "no PEM", change: func(f testFiles) { f.write("host.pem", []byte("hello"), 0o644) }, want: "host certificate: no PEM"},
		{name: "too large", change: func(f testFiles) { f.write("ca.pem", make([]byte, 1<<20), 0o644) }, want: "larger than"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newTestFiles(t)
			test.change(f)
			credentials, err := f.load()
			if test.want == "" {
				is.NoErr(err)
				is.Equal(credentials.Name(), "host-a")
				return
			}
			is.True(err != nil)
			t.Log(err)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}

func (f testFiles) chmod(name string, mode os.FileMode) {
	is.New(f.t).NoErr(os.Chmod(filepath.Join(f.folder, name), mode))
}

func (f testFiles) remove(name string) {
	is.New(f.t).NoErr(os.Remove(filepath.Join(f.folder, name)))
}

func TestReload(t *testing.T) {
	is := is.New(t)
	f := newTestFiles(t)
	credentials, err := f.load()
	is.NoErr(err)
	config := credentials.ServerConfig("test")
	until := credentials.ExpiresAt()

	changed, err := credentials.Reload()
	is.NoErr(err)
	is.Equal(changed, false) // Reload installs nothing, because the files have not changed

	f.writeHost(time.Now().Add(-24*time.Hour), "host-a")
	changed, err = credentials.Reload()
	is.NoErr(err)
	is.True(changed)
	is.True(credentials.ExpiresAt().Before(until))
	current, err := config.GetConfigForClient(nil)
	is.NoErr(err)
	is.Equal(current.Certificates[0].Leaf.NotAfter, credentials.ExpiresAt()) // a TLS configuration made before the reload uses the new certificate

	f.write("host.pem", []byte("half a file"), 0o644)
	_, err = credentials.Reload()
	is.True(err != nil)
	is.Equal(credentials.Name(), "host-a") // the old credentials stay in use, because the new certificate is not valid PEM

	f.writeHost(time.Now(), "host-b")
	_, err = credentials.Reload()
	is.True(err != nil) // a certificate that names another host is rejected, because a process keeps its host name
	is.Equal(credentials.Name(), "host-a")
}

func TestHostNames(t *testing.T) {
	for name, good := range map[string]bool{
		"mu-north-a-1": true, "host.thies-nord": true, "a": true,
		"": false, "-a": false, "a-": false, "Host": false, "a_b": false, "10.0.0.1": false, "a b": false,
		strings.Repeat("a", 64): false,
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(berylkey.ValidateHostName(name) == nil, good)
		})
	}
}

func TestCallerKeys(t *testing.T) {
	is := is.New(t)
	key, hash := berylkey.NewCallerKey()
	other, _ := berylkey.NewCallerKey()
	is.True(key != other)
	is.Equal(hash, berylkey.HashCallerKey(key))
	is.Equal(berylkey.HashCallerKey("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")
}
