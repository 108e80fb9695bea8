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

// Credentials authenticate a host to its peers and verify the peers' certificates. They are safe for concurrent use.
type Credentials struct {
	paths   paths // empty if the credentials were not loaded from files
	current atomic.Pointer[identity]
}

// identity is the parsed content of one read of the credential files. It is not changed once it is in use.
type identity struct {
	name      string
	expiresAt time.Time
	roots     *x509.CertPool
	cert      tls.Certificate
	resetKey  [sha256.Size]byte
	fileState fileState
}

// New creates credentials from a fleet's CA certificate in PEM and a host's key pair. It returns an error if either certificate
// is not valid at the time now or the host's was not signed by the CA.
func New(now time.Time, ca []byte, host KeyPair) (*Credentials, error) {
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

// ExpiresAt returns the time at which the host certificate expires.
func (c *Credentials) ExpiresAt() time.Time {
	return c.current.Load().expiresAt
}

// ResetKey returns the key for QUIC stateless resets. It is derived from the host's private key, so it stays the same when the
// host restarts.
func (c *Credentials) ResetKey() [sha256.Size]byte {
	return c.current.Load().resetKey
}

// DeriveResetKey derives the key for stateless resets from a secret of the fleet and the host's name. A host that creates a
// key pair at each start needs it, because the key must stay the same when it restarts.
func (c *Credentials) DeriveResetKey(secret []byte) {
	id := *c.current.Load()
	id.resetKey = deriveResetKey(secret, id.name)
	c.current.Store(&id)
}

// ServerConfig returns a TLS configuration for the given application protocol that requires a client certificate of the fleet.
// New connections use reloaded credentials.
func (c *Credentials) ServerConfig(protocol string) *tls.Config {
	config := c.current.Load().serverConfig(protocol)
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		return c.current.Load().serverConfig(protocol), nil
	}
	return config
}

// curvePreferences lists the key exchanges between hosts. The library's default adds a post-quantum one, which makes a handshake
// three packets longer and 50% more expensive for a host; hosts of a large fleet make thousands of handshakes.
var curvePreferences = []tls.CurveID{tls.X25519}

// ClientConfig returns a TLS configuration for one connection to the named peer. It does not follow reloads, so each connection
// needs a new one.
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

// newIdentity parses and verifies the CA certificate and the host's key pair.
func newIdentity(now time.Time, ca []byte, host KeyPair) (*identity, error) {
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
	id := &identity{
		name:      leaf.DNSNames[0],
		expiresAt: leaf.NotAfter,
		roots:     roots,
		cert:      tls.Certificate{Certificate: [][]byte{leaf.Raw}, PrivateKey: key, Leaf: leaf},
	}
	id.resetKey = deriveResetKey(secret, "")
	return id, nil
}

// deriveResetKey derives a key for stateless resets from a secret and the name of the host, unless the secret is the host's.
func deriveResetKey(secret []byte, host string) (key [sha256.Size]byte) {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte("berylroad stateless reset"))
	mac.Write([]byte(host))
	mac.Sum(key[:0])
	return key
}

// verifyHostCert checks that the host certificate holds one name, that both certificates are valid now and that the authority
// signed the host's.
func verifyHostCert(now time.Time, leaf, root *x509.Certificate, roots *x509.CertPool) error {
	if len(leaf.DNSNames) != 1 {
		return errors.Newf("host certificate: it must hold one host name, but holds %d; create one with `berylroad key`",
			len(leaf.DNSNames))
	}
	for _, c := range []*x509.Certificate{leaf, root} {
		if now.After(c.NotAfter) {
			return errors.Newf("certificate of %q expired at %s; create a new one with `berylroad key`",
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
