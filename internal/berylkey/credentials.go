package berylkey

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Credentials prove a host's name to its peers and check theirs; they are safe for concurrent use.
type Credentials struct {
	paths   paths
	current atomic.Pointer[identity]
}

// identity is what one reading of the files gave.
type identity struct {
	name      string
	expiresAt time.Time
	roots     *x509.CertPool
	cert      tls.Certificate
	resetKey  [sha256.Size]byte
	fileState fileState
}

// New makes credentials from a fleet's CA certificate in PEM and a host's pair, and returns an error for a pair that is
// expired at that time or was not signed by that CA.
func New(now time.Time, ca []byte, host Pair) (*Credentials, error) {
	id, err := newIdentity(now, ca, host)
	if err != nil {
		return nil, err
	}
	c := &Credentials{}
	c.current.Store(id)
	return c, nil
}

// Name returns the host name in the certificate.
func (c *Credentials) Name() string {
	return c.current.Load().name
}

// ExpiresAt returns when the certificate expires.
func (c *Credentials) ExpiresAt() time.Time {
	return c.current.Load().expiresAt
}

// ResetKey returns a secret that stays the same over restarts of the host while its key does.
func (c *Credentials) ResetKey() [sha256.Size]byte {
	return c.current.Load().resetKey
}

// ServerConfig returns a TLS configuration for that application protocol which demands a certificate of the fleet from
// clients; it follows reloads.
func (c *Credentials) ServerConfig(protocol string) *tls.Config {
	config := c.current.Load().serverConfig(protocol)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return c.current.Load().serverConfig(protocol), nil
	}
	return config
}

// curvePreferences are the key exchanges between hosts. The library's default adds a post-quantum one, whose keys make a handshake
// three packets longer and cost a host half as much again; hosts of a large fleet make thousands of handshakes.
var curvePreferences = []tls.CurveID{tls.X25519}

// ClientConfig returns a TLS configuration for one connection to the peer of that name; take a new one for each
// connection.
func (c *Credentials) ClientConfig(peer, protocol string) *tls.Config {
	id := c.current.Load()
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		CurvePreferences: curvePreferences,
		Certificates:     []tls.Certificate{id.cert},
		RootCAs:          id.roots,
		ServerName:       peer,
		NextProtos:       []string{protocol},
	}
}

func (id *identity) serverConfig(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		CurvePreferences:       curvePreferences,
		Certificates:           []tls.Certificate{id.cert},
		ClientCAs:              id.roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		NextProtos:             []string{protocol},
		SessionTicketsDisabled: true,
	}
}

func newIdentity(now time.Time, ca []byte, host Pair) (*identity, error) {
	root, err := parseCert(ca)
	if err != nil {
		return nil, errors.Wrap(err, "CA certificate")
	}
	leaf, err := parseCert(host.Cert)
	if err != nil {
		return nil, errors.Wrap(err, "host certificate")
	}
	key, err := parseKey(host.Key)
	if err != nil {
		return nil, errors.Wrap(err, "host key")
	}
	if !key.PublicKey.Equal(leaf.PublicKey) {
		return nil, errors.New("host key: it does not belong to the host certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(root)
	if err := verifyHostCert(now, leaf, root, roots); err != nil {
		return nil, err
	}
	secret, err := key.Bytes()
	if err != nil {
		return nil, errors.Wrap(err, "host key")
	}
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("berylroad stateless reset"))
	id := &identity{
		name:      leaf.DNSNames[0],
		expiresAt: leaf.NotAfter,
		roots:     roots,
		cert:      tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: key, Leaf: leaf},
	}
	mac.Sum(id.resetKey[:0])
	return id, nil
}

func verifyHostCert(now time.Time, leaf, root *x509.Certificate, roots *x509.CertPool) error {
	if len(leaf.DNSNames) != 1 {
		return errors.Newf("host certificate: it must hold one host name and holds %d; make one with `berylroad key`",
			len(leaf.DNSNames))
	}
	for _, c := range []*x509.Certificate{leaf, root} {
		if now.After(c.NotAfter) {
			return errors.Newf("certificate of %q expired at %s; make a new one with `berylroad key`",
				c.Subject.CommonName, c.NotAfter.UTC().Format(time.RFC3339))
		}
		if now.Before(c.NotBefore) {
			return errors.Newf("certificate of %q is valid from %s only; check this host's clock",
				c.Subject.CommonName, c.NotBefore.UTC().Format(time.RFC3339))
		}
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots:       roots,
		CurrentTime: now,
		KeyUsages:   []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrapf(err, "certificate of %q is not signed by this fleet's CA", leaf.DNSNames[0])
}
