// Package tlskeys creates certificate authorities, for development or derived from
// a shared secret, and the certificates of instances for the links between them.
//
// The package must never overwrite a file and never write a private key that is
// readable by other users.
package tlskeys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// File names of the authority in its directory.
const (
	AuthorityFile    = "authority.crt"
	AuthorityKeyFile = "authority.key"
)

const (
	// URIScheme is the scheme of the URI that identifies an instance in its certificate.
	URIScheme = "foxtailhub"

	keyMode         = 0o600
	certificateMode = 0o644
	directoryMode   = 0o700
	// clockSkewTolerance backdates certificates for peers whose clocks are behind.
	clockSkewTolerance  = time.Hour
	authorityValidity   = 10 * 365 * 24 * time.Hour
	certificateValidity = 365 * 24 * time.Hour
	serialBits          = 127

	// deriveLabel is the HKDF info that separates these keys from other uses of the secret.
	deriveLabel = "foxtailhub fleet authority "
)

// Identity is the identity of an instance in its certificate.
type Identity struct {
	ID        contract.InstanceID
	Region    string
	Addresses []netip.Addr // IP addresses of its link
}

// InstanceURI returns the URI that identifies an instance: foxtailhub://<region>/<instance>.
func InstanceURI(region string, id contract.InstanceID) *url.URL {
	return &url.URL{Scheme: URIScheme, Host: region, Path: "/" + string(id)}
}

// Authority is a certificate authority for instances.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// CreateAuthority creates an authority and writes its files to a directory,
// which is created if needed.
func CreateAuthority(directory string) (*Authority, error) {
	if err := os.MkdirAll(directory, directoryMode); err != nil {
		return nil, errors.Wrap(err, "create key directory")
	}
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	authority, err := newAuthority("foxtailhub development authority", key)
	if err != nil {
		return nil, err
	}
	return authority, writePair(filepath.Join(directory, "authority"), authority.certificate, key)
}

// LoadAuthority reads the files that CreateAuthority wrote.
func LoadAuthority(directory string) (*Authority, error) {
	certificateDER, err := readPEM(filepath.Join(directory, AuthorityFile), certificatePEMType)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(certificateDER)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	keyDER, err := readPEM(filepath.Join(directory, AuthorityKeyFile), keyPEMType)
	if err != nil {
		return nil, err
	}
	key, err := x509.ParseECPrivateKey(keyDER)
	if err != nil {
		return nil, errors.Wrap(err, "parse authority key")
	}
	if !key.PublicKey.Equal(certificate.PublicKey) {
		return nil, errors.New("authority key does not match the authority certificate")
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// DeriveAuthority derives an authority from a secret. All instances with the secret
// derive the same key, so they need no files and no exchange of certificates.
func DeriveAuthority(secret []byte) (*Authority, error) {
	key, err := deriveKey(secret)
	if err != nil {
		return nil, err
	}
	return newAuthority("foxtailhub fleet authority", key)
}

func newAuthority(name string, key *ecdsa.PrivateKey) (*Authority, error) {
	template, err := newTemplate(name, authorityValidity)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	certificate, err := sign(template, template, key, key)
	if err != nil {
		return nil, err
	}
	return &Authority{certificate: certificate, key: key}, nil
}

// deriveKey derives a key from a secret deterministically.
func deriveKey(secret []byte) (*ecdsa.PrivateKey, error) {
	curve := elliptic.P256()
	// A random number of 32 bytes is not a valid key of the curve in 1 of 2^32 cases.
	for attempt := range byte(8) {
		raw, err := hkdf.Key(sha256.New, secret, nil, deriveLabel+string(rune(attempt)), (curve.Params().BitSize+7)/8)
		if err != nil {
			return nil, errors.Wrap(err, "derive key")
		}
		if key, err := ecdsa.ParseRawPrivateKey(curve, raw); err == nil {
			return key, nil
		}
	}
	return nil, errors.New("no key could be derived from the secret")
}

// CertPool returns a certificate pool that trusts only this authority.
func (a *Authority) CertPool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// NewCertificate issues a new key and certificate for an instance.
func (a *Authority) NewCertificate(instance Identity) (tls.Certificate, error) {
	certificate, key, err := a.issue(instance)
	if err != nil {
		return tls.Certificate{}, err
	}
	return tls.Certificate{Certificate: [][]byte{certificate.Raw}, PrivateKey: key, Leaf: certificate}, nil
}

// Issue creates a key and a certificate for an instance and writes
// <instance>.crt and <instance>.key to a directory.
func (a *Authority) Issue(directory string, instance Identity) error {
	if filepath.Base(string(instance.ID)) != string(instance.ID) {
		return errors.Newf("instance %q cannot be part of a file name", instance.ID)
	}
	certificate, key, err := a.issue(instance)
	if err != nil {
		return err
	}
	return writePair(filepath.Join(directory, string(instance.ID)), certificate, key)
}

func (a *Authority) issue(instance Identity) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	if instance.ID == "" || instance.Region == "" || len(instance.Addresses) == 0 {
		return nil, nil, errors.New("a certificate needs an instance, a region and an IP address")
	}
	template, err := newTemplate(string(instance.ID), certificateValidity)
	if err != nil {
		return nil, nil, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.URIs = []*url.URL{InstanceURI(instance.Region, instance.ID)}
	for _, address := range instance.Addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	key, err := newKey()
	if err != nil {
		return nil, nil, err
	}
	certificate, err := sign(template, a.certificate, key, a.key)
	return certificate, key, err
}

func newTemplate(name string, lifetime time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "create serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	return key, errors.Wrap(err, "create key")
}

func sign(template, parent *x509.Certificate, key, parentKey *ecdsa.PrivateKey) (*x509.Certificate, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	certificate, err := x509.ParseCertificate(der)
	return certificate, errors.Wrap(err, "parse certificate")
}

const (
	certificatePEMType = "CERTIFICATE"
	keyPEMType         = "EC PRIVATE KEY"
)

// writePair writes name.key and name.crt. The key is written first: if it exists,
// its certificate is not replaced.
func writePair(name string, certificate *x509.Certificate, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	if err := writeNew(name+".key", keyPEMType, keyDER, keyMode); err != nil {
		return err
	}
	return writeNew(name+".crt", certificatePEMType, certificate.Raw, certificateMode)
}

// writeNew writes a file and fails if it exists.
func writeNew(path, block string, der []byte, mode os.FileMode) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "write key file")
	}
	err = pem.Encode(file, &pem.Block{Type: block, Bytes: der})
	return errors.Wrap(errors.CombineErrors(err, file.Close()), "write key file")
}

func readPEM(path, block string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	decoded, _ := pem.Decode(data)
	if decoded == nil || decoded.Type != block {
		return nil, errors.Newf("%s contains no %s block", path, block)
	}
	return decoded.Bytes, nil
}
