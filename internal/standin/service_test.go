package standin_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/standin"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/servicehttp"
)

// runningService is a service stand-in with a client.
type runningService struct {
	service *standin.Service
	address string
	client  upstream.ServiceClient
}

func startService(t *testing.T) runningService {
	t.Helper()
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := standin.NewListener(inner)
	service := standin.NewService(standin.ServiceConfig{Connections: listener})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- standin.Serve(ctx, listener, service) }()
	dialer := servicehttp.New(servicehttp.Config{})
	t.Cleanup(func() {
		dialer.Close()
		cancel()
		g.Expect(<-ended).To(Succeed())
	})
	address := inner.Addr().String()
	return runningService{service, address, dialer.Service(upstream.Target{ID: "s0", Address: address})}
}

// setFault sets a fault over HTTP, as tests with real processes do.
func (r runningService) setFault(g *WithT, f standin.Fault) {
	body, err := json.Marshal(f)
	g.Expect(err).NotTo(HaveOccurred())
	request, err := http.NewRequest(http.MethodPut, "http://"+r.address+"/fault", bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Body.Close()).To(Succeed())
	g.Expect(response.StatusCode).To(Equal(http.StatusNoContent))
}

func (r runningService) count(key string) int {
	for _, e := range r.service.Executions().Executions {
		if e.Key == key {
			return e.Count
		}
	}
	return 0
}

func request(method, key string) upstream.CallRequest {
	return upstream.CallRequest{Request: contract.RequestID{Key: key}, Method: method, Path: "/book", Body: []byte("{}")}
}

// callWithTimeout sends a call with a deadline. Without it, a call on a silent
// connection would not return.
func callWithTimeout(d time.Duration, call func(context.Context, upstream.CallRequest) (upstream.CallResponse, error), r upstream.CallRequest) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	_, err := call(ctx, r)
	return err
}

// Guards against a stand-in that miscounts executions or does not inject a fault.
// Fault tests would then pass without testing the fault.
func TestServiceFaults(t *testing.T) {
	g := NewWithT(t)
	r := startService(t)
	const long = 10 * time.Second
	g.Expect(callWithTimeout(long, r.client.CallOnce, request("POST", "k1"))).To(Succeed())
	g.Expect(callWithTimeout(long, r.client.CallIdempotent, request("GET", "q1"))).To(Succeed())
	g.Expect(r.count("k1")).To(Equal(1))
	g.Expect(r.service.Executions().Queries).To(Equal(1))

	r.setFault(g, standin.Fault{DropResponse: true})
	g.Expect(callWithTimeout(long, r.client.CallOnce, request("POST", "k2"))).To(MatchError(upstream.ErrConnectionLost))
	g.Expect(r.count("k2")).To(Equal(1), "executed, response lost")

	r.setFault(g, standin.Fault{Leaving: true})
	g.Expect(callWithTimeout(long, r.client.CallOnce, request("POST", "k3"))).To(MatchError(upstream.ErrLeaving))
	report, err := r.client.Load(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(report.Incarnation).NotTo(BeEmpty())
	g.Expect(report.Leaving).To(BeTrue())
	r.setFault(g, standin.Fault{Refuse: true})
	g.Expect(callWithTimeout(long, r.client.CallOnce, request("POST", "k3"))).To(MatchError(upstream.ErrRefused))
	g.Expect(r.count("k3")).To(BeZero())

	r.setFault(g, standin.Fault{Pause: true})
	g.Expect(callWithTimeout(50*time.Millisecond, r.client.CallOnce, request("POST", "k4"))).To(MatchError(context.DeadlineExceeded))
	r.setFault(g, standin.Fault{})
	response, err := r.client.CallOnce(context.Background(), request("POST", "k5"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Incarnation).To(Equal(report.Incarnation))
}

// Guards against a silence fault that closes the connection, which a client
// detects immediately, or that also affects new connections.
func TestServiceSilence(t *testing.T) {
	g := NewWithT(t)
	r := startService(t)
	const long = 10 * time.Second
	// The limit of one connection forces the second request to reuse it, even if it
	// is not yet back in the pool when that request starts.
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	query := func(ctx context.Context, call upstream.CallRequest) (upstream.CallResponse, error) {
		request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+r.address+call.Path, nil)
		g.Expect(err).NotTo(HaveOccurred())
		response, err := transport.RoundTrip(request)
		if err != nil {
			return upstream.CallResponse{}, err
		}
		_, err = io.Copy(io.Discard, response.Body)
		return upstream.CallResponse{Status: response.StatusCode}, errors.Join(err, response.Body.Close())
	}
	g.Expect(callWithTimeout(long, query, request("GET", "q1"))).To(Succeed()) // leaves an idle connection open
	r.setFault(g, standin.Fault{Silence: true})
	g.Expect(callWithTimeout(100*time.Millisecond, query, request("GET", "q2"))).To(MatchError(context.DeadlineExceeded))
	g.Expect(callWithTimeout(long, r.client.CallOnce, request("POST", "k1"))).To(Succeed())
	g.Expect(callWithTimeout(long, r.client.CallIdempotent, request("GET", "q3"))).To(Succeed())
}

// Guards against a cut fault that leaves connections open.
func TestServiceCut(t *testing.T) {
	g := NewWithT(t)
	r := startService(t)
	r.service.Faults().Set(standin.Fault{DelayMS: 60_000})
	failed := make(chan error, 1)
	go func() { failed <- callWithTimeout(30*time.Second, r.client.CallOnce, request("POST", "k1")) }()
	g.Eventually(func() int { return r.count("k1") }).WithTimeout(10 * time.Second).Should(Equal(1))
	r.setFault(g, standin.Fault{Cut: true})
	g.Expect(<-failed).To(MatchError(upstream.ErrConnectionLost))
}

// Guards against a pause that does not hold data back, or that loses or reorders it.
func TestListenerPause(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	listener := standin.NewListener(inner)
	defer func() { _ = listener.Close() }()
	listener.Pause()
	client, err := net.Dial("tcp", inner.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = server.Close() }()
	_, err = client.Write([]byte("one"))
	g.Expect(err).NotTo(HaveOccurred())
	received := make(chan string, 1)
	go func() {
		buffer := make([]byte, 3)
		_, _ = server.Read(buffer)
		received <- string(buffer)
	}()
	g.Consistently(received).WithTimeout(50 * time.Millisecond).ShouldNot(Receive())
	listener.Resume()
	g.Eventually(received).WithTimeout(10 * time.Second).Should(Receive(Equal("one")))
}
