package enginehttp_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
)

// cutEngine returns an engine that responds with bytes that the test sets, and then closes the connection.
func cutEngine(t *testing.T) (engine upstream.Engine, response *atomic.Pointer[string]) {
	response = &atomic.Pointer[string]{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, *response.Load())
			}()
		}
	}()
	return enginehttp.NewDialer().Engine(upstream.Target{ID: "engine-1", Address: listener.Addr().String()}), response
}

// framed returns a body with each framing.
func framed(body string) map[string]string {
	half := len(body) / 2
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	chunks := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	return map[string]string{
		"length":             length,
		"length after a 103": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + length,
		"chunks":             chunks + "\r\n",
		"chunks and trailer": chunks + "Checksum: 12\r\n\r\n",
		"no length":          "HTTP/1.1 200 OK\r\n\r\n" + body,
	}
}

// connected calls until a connection was made: a dial on a busy machine may time out, and then no
// response was cut.
func connected[T any](call func() (T, error)) (T, error) {
	for {
		result, err := call()
		if !errors.Is(err, upstream.ErrUnreachable) {
			return result, err
		}
	}
}

// Guards against a stream that is cut and has a wrong token, or an end that the engine did not send whole.
func TestCutStreamIsNotWhole(t *testing.T) {
	id := contract.RequestID{Workspace: "peruukipankki", Key: "key-1"}
	const fields = `"stream":"s","request":{"workspace":"peruukipankki","key":"key-1"}`
	tokens := "event: token\ndata: {" + fields + ",\"offset\":0,\"text\":\"a\"}\n\nevent: token\ndata: {" + fields + ",\"offset\":1,\"text\":\"b\"}\n\n"
	end := "event: end\ndata: {" + fields + ",\"count\":12}\n"
	for name, response := range framed(tokens + end + "\n") {
		for _, resumed := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", resumed: ", resumed), func(t *testing.T) {
				t.Parallel()
				engine, sent := cutEngine(t)
				for cut := range len(response) {
					g := NewWithT(t)
					part := response[:cut]
					sent.Store(&part)
					open := func(e upstream.Engine) (upstream.Stream, error) {
						if resumed {
							return e.Resume(t.Context(), "s", contract.StartPosition())
						}
						return e.Start(t.Context(), upstream.StreamRequest{Stream: "s", Request: id})
					}
					stream, err := connected(func() (upstream.Stream, error) { return open(engine) })
					offset := int64(0)
					for err == nil {
						var event upstream.StreamEvent
						if event, err = stream.Next(context.Background()); err != nil {
							break
						}
						if event.End {
							g.Expect(event.TokenCount).To(Equal(int64(12)), "cut after %d bytes", cut)
							break
						}
						g.Expect(event.Token).To(Equal(contract.Token{Offset: offset, Text: string(rune('a' + offset))}), "cut after %d bytes", cut)
						offset++
					}
					if err != nil {
						g.Expect(err).To(MatchError(upstream.ErrConnectionLost), "cut after %d bytes", cut)
					}
				}
			})
		}
	}
}

// Guards against a load report that is cut and taken as whole.
func TestCutLoadReportIsLostConnection(t *testing.T) {
	for name, response := range framed(`{"incarnation":"1","running":12,"slots":1200}`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine, sent := cutEngine(t)
			for cut := range len(response) {
				g := NewWithT(t)
				part := response[:cut]
				sent.Store(&part)
				report, err := connected(func() (upstream.LoadReport, error) { return engine.Load(t.Context()) })
				g.Expect(err).To(MatchError(upstream.ErrConnectionLost), "cut after %d bytes", cut)
				g.Expect(report).To(BeZero())
			}
		})
	}
}

// Guards against a response that is not valid HTTP and that is taken as a stream, a load report or the end of
// a stream.
func TestInvalidResponseIsLostConnection(t *testing.T) {
	for name, response := range map[string]string{
		"status":     "HTTP/1.1 000 None\r\nContent-Length: 2\r\n\r\n{}",
		"field name": "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 2\r\n\r\n{}",
		"many lines": "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: 1\r\n", 1000) + "Content-Length: 2\r\n\r\n{}",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			engine, sent := cutEngine(t)
			sent.Store(&response)
			_, err := connected(func() (upstream.Stream, error) {
				return engine.Start(t.Context(), upstream.StreamRequest{Stream: "s", Request: contract.RequestID{Workspace: "peruukipankki", Key: "key-1"}})
			})
			g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
			_, err = connected(func() (upstream.LoadReport, error) { return engine.Load(t.Context()) })
			g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
			_, err = connected(func() (struct{}, error) { return struct{}{}, engine.Cancel(t.Context(), "s") })
			g.Expect(err).To(MatchError(upstream.ErrConnectionLost))
		})
	}
}
