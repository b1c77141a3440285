package tlskeys

import (
	"crypto/x509"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against instances with the same secret that do not trust each other's
// certificates, and against trust in certificates derived from another secret.
func TestDerivedAuthorities(t *testing.T) {
	g := NewWithT(t)
	instance := Identity{ID: "gateway-1", Region: "fleet", Addresses: []netip.Addr{netip.MustParseAddr("10.0.0.1")}}
	own, err := DeriveAuthority([]byte("one secret"))
	g.Expect(err).NotTo(HaveOccurred())
	same, err := DeriveAuthority([]byte("one secret"))
	g.Expect(err).NotTo(HaveOccurred())
	other, err := DeriveAuthority([]byte("another secret"))
	g.Expect(err).NotTo(HaveOccurred())
	certificate, err := own.NewCertificate(instance)
	g.Expect(err).NotTo(HaveOccurred())
	for authority, trusted := range map[*Authority]bool{own: true, same: true, other: false} {
		_, err := certificate.Leaf.Verify(x509.VerifyOptions{Roots: authority.CertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}})
		g.Expect(err == nil).To(Equal(trusted))
	}
	_, err = own.NewCertificate(Identity{ID: "gateway-1"})
	g.Expect(err).To(HaveOccurred())
}
