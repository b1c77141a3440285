package link_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"

	"foxtailhub.example/foxtailhub/internal/link"
)

func clientConfig(certificates ...tls.Certificate) *tls.Config {
	return &tls.Config{Certificates: certificates, InsecureSkipVerify: true, NextProtos: []string{"foxtailhub/1"}}
}

func withLengthPrefix(size int, data []byte) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(size)), data...)
}

// Guards against invalid bytes of an authenticated peer that harm the instance:
// each message is rejected and counted, and the same connection still serves requests.
func TestInvalidBytesFromPeerAreRejectedWithoutHarm(t *testing.T) {
	g := NewWithT(t)
	a, d := newAuthority(t), &directory{}
	server := start(t, a, d, region, "server")
	certificateFile, keyFile, err := a.Issue(region, "client")
	g.Expect(err).NotTo(HaveOccurred())
	certificate, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	g.Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, server.Address(), clientConfig(certificate), &quic.Config{})
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.CloseWithError(0, "") }()
	send := func(data []byte) ([]byte, error) {
		stream, err := conn.OpenStreamSync(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		_, _ = stream.Write(data)
		_ = stream.Close()
		return io.ReadAll(stream)
	}
	for i, invalid := range [][]byte{{}, {1}, withLengthPrefix(1<<31, []byte("x")), withLengthPrefix(3, []byte("abc")), withLengthPrefix(100, []byte("abc"))} {
		_, err := send(invalid)
		g.Expect(err).To(HaveOccurred())
		g.Eventually(func() int64 { return server.Stats().RejectedMessages }, "5s", "5ms").Should(BeNumerically("==", i+1))
	}
	good, err := link.Encode([]any{"echo", []byte("body")})
	g.Expect(err).NotTo(HaveOccurred())
	reply, err := send(withLengthPrefix(len(good), good))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(reply)).To(ContainSubstring("client:body"))
}

// Guards against accepting a client without a certificate.
func TestClientWithoutCertificateIsRefused(t *testing.T) {
	g := NewWithT(t)
	server := start(t, newAuthority(t), &directory{}, region, "server")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, server.Address(), clientConfig(), &quic.Config{})
	if err == nil {
		_, err = conn.AcceptStream(ctx) // the rejection arrives after the client has completed its handshake
	}
	g.Expect(err).To(HaveOccurred())
	g.Expect(ctx.Err()).NotTo(HaveOccurred())
	g.Expect(server.Stats().Accepted).To(BeZero())
}
