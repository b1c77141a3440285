package tlskeys_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/tlskeys"
)

// Guards against certificates that mutual TLS between instances would refuse, keys
// that are readable by other users, and overwritten files.
func TestIssue(t *testing.T) {
	g := NewWithT(t)
	directory := filepath.Join(t.TempDir(), "keys")
	_, err := tlskeys.CreateAuthority(directory)
	g.Expect(err).NotTo(HaveOccurred())
	authority, err := tlskeys.LoadAuthority(directory)
	g.Expect(err).NotTo(HaveOccurred())
	instance := tlskeys.Identity{ID: "oulu-a-1", Region: "pohjola", Addresses: []netip.Addr{netip.MustParseAddr("127.0.0.1")}}
	g.Expect(authority.Issue(directory, instance)).To(Succeed())

	pair, err := tls.LoadX509KeyPair(filepath.Join(directory, "oulu-a-1.crt"), filepath.Join(directory, "oulu-a-1.key"))
	g.Expect(err).NotTo(HaveOccurred())
	roots := x509.NewCertPool()
	text, err := os.ReadFile(filepath.Join(directory, tlskeys.AuthorityFile))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(roots.AppendCertsFromPEM(text)).To(BeTrue())
	for _, use := range []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth} {
		_, err = pair.Leaf.Verify(x509.VerifyOptions{Roots: roots, DNSName: "127.0.0.1", KeyUsages: []x509.ExtKeyUsage{use}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(pair.Leaf.URIs).To(HaveExactElements(HaveField("String()", "foxtailhub://pohjola/oulu-a-1")))

	for _, name := range []string{"authority.key", "oulu-a-1.key"} {
		info, err := os.Stat(filepath.Join(directory, name))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(info.Mode().Perm()).To(Equal(os.FileMode(0o600)))
	}
	g.Expect(authority.Issue(directory, instance)).To(MatchError(os.ErrExist))
	_, err = tlskeys.CreateAuthority(directory)
	g.Expect(err).To(MatchError(os.ErrExist))
	g.Expect(authority.Issue(directory, tlskeys.Identity{ID: "../x", Region: "r", Addresses: instance.Addresses})).NotTo(Succeed())
}
