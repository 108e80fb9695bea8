package berylkey

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// caLifetime is how long the certificate of the authority is valid.
	caLifetime = 10 * 365 * 24 * time.Hour
	// hostLifetime is how long a host's certificate is valid.
	hostLifetime = 365 * 24 * time.Hour
	// clockSkew is how far a host's clock may be behind that of the machine that created the certificate.
	clockSkew = time.Hour
	// serialBits is the size of a random serial number.
	serialBits = 127
	// maxNameBytes is the maximum length of a host name.
	maxNameBytes   = 63
	typeCert       = "CERTIFICATE"
	typePrivateKey = "PRIVATE KEY"
)

// KeyPair is a certificate and its private key, both in PEM.
type KeyPair struct {
	// Cert is the X.509 certificate.
	Cert []byte
	// Key is the private key in PKCS #8.
	Key []byte
}

// CreateCA creates a fleet's certificate authority, valid from now on.
func CreateCA(now time.Time) (KeyPair, error) {
	template := &x509.Certificate{
		Subject:               pkix.Name{CommonName: "berylroad fleet"},
		NotBefore:             now.Add(-clockSkew),
		NotAfter:              now.Add(caLifetime),
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
		IsCA:                  true,
		MaxPathLenZero:        true,
	}
	return signCertificate(template, nil, nil)
}

// CreateHost creates a host's key and signs its certificate with the authority p. It returns an error for an invalid host name.
func (p KeyPair) CreateHost(now time.Time, name string, ips ...net.IP) (KeyPair, error) {
	return p.createHost(now, now.Add(hostLifetime), name, ips)
}

func (p KeyPair) createHost(now, until time.Time, name string, ips []net.IP) (KeyPair, error) {
	if err := ValidateHostName(name); err != nil {
		return KeyPair{}, err
	}
	parent, err := parseCert(p.Cert)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "certificate authority")
	}
	signer, err := parseKey(p.Key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "key of the certificate authority")
	}
	template := &x509.Certificate{
		Subject:     pkix.Name{CommonName: name},
		DNSNames:    []string{name},
		IPAddresses: ips,
		NotBefore:   now.Add(-clockSkew),
		NotAfter:    until,
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	return signCertificate(template, parent, signer)
}

// ValidateHostName returns an error unless the name consists of lower-case letters, digits and, not at its ends, hyphens and
// dots, is not an IP address and has 1 to 63 bytes.
func ValidateHostName(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return errors.Newf("host name %q must have 1 to %d bytes", name, maxNameBytes)
	}
	if net.ParseIP(name) != nil {
		return errors.Newf("host name %q must not be an IP address", name)
	}
	for i, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		edge := i == 0 || i == len(name)-1
		if letter || !edge && (c == '-' || c == '.') {
			continue
		}
		return errors.Newf("host name %q may hold lower-case letters, digits and, inside, hyphens and dots", name)
	}
	return nil
}

// signCertificate generates a key and signs the template for it with the parent's key, or with the new key itself if parent is
// nil.
func signCertificate(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate a key")
	}
	if parent == nil {
		parent = template
		signer = key
	}
	template.SerialNumber, err = rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "generate a serial number")
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "sign the certificate")
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, errors.Wrap(err, "encode the key")
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: typeCert, Bytes: cert}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: typePrivateKey, Bytes: private}),
	}, nil
}

// parseCert parses a certificate in PEM.
func parseCert(text []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != typeCert {
		return nil, errors.New("no PEM block of type " + typeCert)
	}
	cert, err := x509.ParseCertificate(block.Bytes)
	return cert, errors.Wrap(err, "parse the certificate")
}

// parseKey parses an ECDSA private key in PEM.
func parseKey(text []byte) (*ecdsa.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != typePrivateKey {
		return nil, errors.New("no PEM block of type " + typePrivateKey)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrap(err, "parse the key")
	}
	key, ok := parsed.(*ecdsa.PrivateKey)
	if !ok {
		return nil, errors.Newf("the key is a %T, but must be an ECDSA key", parsed)
	}
	return key, nil
}
