package link

import (
	"crypto/tls"
	"crypto/x509"
	"net/url"
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// identityScheme is the scheme of the URI in an instance's certificate:
// foxtailhub://<region>/<instance>.
const identityScheme = "foxtailhub"

// protocolName is negotiated by ALPN in the TLS handshake. Incompatible versions of
// the protocol have different names.
const protocolName = "foxtailhub/1"

// maxInstanceIDBytes is the maximum length of an instance identifier.
const maxInstanceIDBytes = 128

// Errors of the identity check.
var (
	ErrInvalidCertificate = errors.New("certificate is not valid for a link")
	ErrRegionNotAccepted  = errors.New("region is not accepted")
	ErrIdentityMismatch   = errors.New("certificate belongs to another instance")
)

// Identity is the identity of an instance in its certificate.
type Identity struct {
	Instance contract.InstanceID
	Region   string
}

// identityOf returns the identity in a certificate, which must contain exactly one.
func identityOf(cert *x509.Certificate) (Identity, error) {
	var found []Identity
	for _, uri := range cert.URIs {
		if uri.Scheme != identityScheme {
			continue
		}
		id, err := parseIdentity(uri)
		if err != nil {
			return Identity{}, err
		}
		found = append(found, id)
	}
	if len(found) != 1 {
		return Identity{}, errors.Wrapf(ErrInvalidCertificate, "found %d identity URIs, need 1", len(found))
	}
	return found[0], nil
}

func parseIdentity(uri *url.URL) (Identity, error) {
	instance, rooted := strings.CutPrefix(uri.Path, "/")
	if !rooted || uri.Host == "" || instance == "" || len(instance) > maxInstanceIDBytes || strings.Contains(instance, "/") {
		return Identity{}, errors.Wrapf(ErrInvalidCertificate, "invalid identity URI %q", uri.String())
	}
	return Identity{Instance: contract.InstanceID(instance), Region: uri.Host}, nil
}

// credentials are the certificate of this instance and the data to verify peers.
type credentials struct {
	self        Identity
	certificate tls.Certificate
	authority   *x509.CertPool
	regions     map[string]bool
}

func loadCredentials(config Config) (*credentials, error) {
	c := &credentials{regions: map[string]bool{}}
	var err error
	if config.Certificate != nil && config.Authority != nil {
		c.certificate, c.authority = *config.Certificate, config.Authority
	} else if err = c.readFiles(config); err != nil {
		return nil, err
	}
	if c.self, err = identityOf(c.certificate.Leaf); err != nil {
		return nil, err
	}
	for _, region := range config.Regions {
		c.regions[region] = true
	}
	if len(config.Regions) == 0 {
		c.regions[c.self.Region] = true
	}
	return c, nil
}

func (c *credentials) readFiles(config Config) error {
	pem, err := os.ReadFile(config.AuthorityFile)
	if err != nil {
		return errors.Wrap(err, "read the certificate authority")
	}
	c.authority = x509.NewCertPool()
	if !c.authority.AppendCertsFromPEM(pem) {
		return errors.Newf("%s contains no certificate", config.AuthorityFile)
	}
	c.certificate, err = tls.LoadX509KeyPair(config.CertificateFile, config.KeyFile)
	return errors.Wrap(err, "read the certificate and key")
}

// verify verifies the certificate chain of a peer and returns its identity.
func (c *credentials) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) (Identity, error) {
	if len(chain) == 0 {
		return Identity{}, errors.Wrap(ErrInvalidCertificate, "peer presented no certificate")
	}
	options := x509.VerifyOptions{Roots: c.authority, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{usage}}
	for _, cert := range chain[1:] {
		options.Intermediates.AddCert(cert)
	}
	if _, err := chain[0].Verify(options); err != nil {
		return Identity{}, errors.Wrapf(ErrInvalidCertificate, "%v", err)
	}
	id, err := identityOf(chain[0])
	if err != nil {
		return Identity{}, err
	}
	if !c.regions[id.Region] {
		return id, errors.Wrapf(ErrRegionNotAccepted, "instance=%s region=%q", id.Instance, id.Region)
	}
	if id.Instance == c.self.Instance {
		return id, errors.Wrap(ErrIdentityMismatch, "peer presents the identifier of this instance")
	}
	return id, nil
}

func (c *credentials) baseConfig() *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{c.certificate},
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocolName},
		SessionTicketsDisabled: true,
	}
}

// serverConfig returns the TLS configuration for accepted connections. The
// certificate is verified in VerifyConnection instead of by the TLS library, so
// that onReject receives rejections of every kind.
func (c *credentials) serverConfig(onReject func(error)) *tls.Config {
	config := c.baseConfig()
	config.ClientAuth = tls.RequireAnyClientCert
	config.VerifyConnection = func(state tls.ConnectionState) error {
		_, err := c.verify(state.PeerCertificates, x509.ExtKeyUsageClientAuth)
		if err != nil {
			onReject(err)
		}
		return err
	}
	return config
}

// clientConfig returns the TLS configuration for dialling an instance. Peers are
// identified by the URI in their certificate instead of a host name, therefore
// VerifyConnection replaces the verification of the TLS library.
func (c *credentials) clientConfig(expected contract.InstanceID, onReject func(error)) *tls.Config {
	config := c.baseConfig()
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		id, err := c.verify(state.PeerCertificates, x509.ExtKeyUsageServerAuth)
		if err == nil && id.Instance != expected {
			err = errors.Wrapf(ErrIdentityMismatch, "dialled %s, reached %s", expected, id.Instance)
		}
		if err != nil {
			onReject(err)
		}
		return err
	}
	return config
}
