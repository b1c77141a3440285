package linktest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"
)

// Authority issues certificates for tests and writes them to a directory.
type Authority struct {
	CertificateFile string // PEM file of its own certificate
	dir             string
	cert            *x509.Certificate
	key             *ecdsa.PrivateKey
}

const certificateLifetime = 24 * time.Hour

// NewAuthority returns an authority that writes its files to dir.
func NewAuthority(dir string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := template("authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	a := &Authority{CertificateFile: filepath.Join(dir, "authority.pem"), dir: dir, cert: cert, key: key}
	return a, writePEM(a.CertificateFile, "CERTIFICATE", der)
}

// Issue writes a certificate with the given identity, and its key, to files.
func (a *Authority) Issue(region, instance string) (certificateFile, keyFile string, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return "", "", err
	}
	template := template(instance)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	template.URIs = []*url.URL{{Scheme: "foxtailhub", Host: region, Path: "/" + instance}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return "", "", err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return "", "", err
	}
	certificateFile = filepath.Join(a.dir, region+"-"+instance+".pem")
	keyFile = filepath.Join(a.dir, region+"-"+instance+"-key.pem")
	if err := writePEM(certificateFile, "CERTIFICATE", der); err != nil {
		return "", "", err
	}
	return certificateFile, keyFile, writePEM(keyFile, "PRIVATE KEY", keyDER)
}

func template(name string) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateLifetime),
	}
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
