package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
)

// serviceFault is a fault of a plain service server.
type serviceFault int

const (
	serviceHealthy        serviceFault = iota
	serviceDown                        // unreachable
	serviceRefusing                    // running, refuses all calls
	serviceLeaving                     // reports leaving and rejects calls
	serviceLosesResponses              // executes, loses some responses
	serviceSlow                        // executes late, often after the sender has timed out
	serviceFaultCount
)

// services are fake plain service servers that count executions.
type services struct {
	mu             sync.Mutex // guards all fields
	random         *rand.Rand
	faults         map[contract.UpstreamID]serviceFault
	processNumbers map[contract.UpstreamID]int // increased when a leaving server is replaced
	executions     map[string]int
}

func newServices(seed uint64) *services {
	return &services{
		random: rand.New(rand.NewPCG(seed, 7)), faults: map[contract.UpstreamID]serviceFault{},
		processNumbers: map[contract.UpstreamID]int{}, executions: map[string]int{},
	}
}

func (s *services) set(id contract.UpstreamID, fault serviceFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults[id] == serviceLeaving && fault != serviceLeaving {
		s.processNumbers[id]++
	}
	s.faults[id] = fault
}

// incarnation must be called with mu held.
func (s *services) incarnation(id contract.UpstreamID) upstream.Incarnation {
	return upstream.Incarnation(fmt.Sprintf("%s#%d", id, s.processNumbers[id]))
}

func (s *services) executed(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// expectedBody returns the only correct response body of a call.
func expectedBody(key, body string) string { return fmt.Sprintf("ran %s with %s", key, body) }

type gatedServices struct {
	*gate
	services *services
}

func (d gatedServices) Service(target upstream.Target) upstream.ServiceClient {
	return serviceClient{d.gate, d.services, target.ID}
}

type serviceClient struct {
	*gate
	services *services
	id       contract.UpstreamID
}

func (c serviceClient) CallOnce(ctx context.Context, call upstream.CallRequest) (upstream.CallResponse, error) {
	if c.awaitRunning() != nil {
		return upstream.CallResponse{}, upstream.ErrUnreachable
	}
	response, err := c.services.call(ctx, c.id, call)
	return response, c.failIfExited(err, upstream.ErrConnectionLost)
}

func (c serviceClient) CallIdempotent(ctx context.Context, call upstream.CallRequest) (upstream.CallResponse, error) {
	return c.CallOnce(ctx, call)
}

func (c serviceClient) Load(context.Context) (upstream.LoadReport, error) {
	if c.awaitRunning() != nil {
		return upstream.LoadReport{}, upstream.ErrUnreachable
	}
	c.services.mu.Lock()
	defer c.services.mu.Unlock()
	fault := c.services.faults[c.id]
	if fault == serviceDown {
		return upstream.LoadReport{}, upstream.ErrUnreachable
	}
	return upstream.LoadReport{Incarnation: c.services.incarnation(c.id), Leaving: fault == serviceLeaving, Slots: 16}, nil
}

// begin returns the fault in force and the delay until the execution.
func (s *services) begin(id contract.UpstreamID) (serviceFault, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := time.Millisecond + time.Duration(s.random.Int64N(int64(30*time.Millisecond)))
	if s.faults[id] == serviceSlow {
		delay = time.Duration(1 + s.random.Int64N(int64(12*time.Second)))
	}
	return s.faults[id], delay
}

// call executes a call even if ctx ends first.
func (s *services) call(ctx context.Context, id contract.UpstreamID, call upstream.CallRequest) (upstream.CallResponse, error) {
	fault, delay := s.begin(id)
	switch fault {
	case serviceDown:
		return upstream.CallResponse{}, upstream.ErrUnreachable
	case serviceRefusing:
		return upstream.CallResponse{}, upstream.ErrRefused
	case serviceLeaving:
		return upstream.CallResponse{}, upstream.ErrLeaving
	}
	responses := make(chan bool, 1)
	time.AfterFunc(delay, func() { responses <- s.execute(id, call.Request.Key) })
	select {
	case ok := <-responses:
		if !ok {
			return upstream.CallResponse{}, upstream.ErrConnectionLost
		}
		return upstream.CallResponse{
			Status: 200, ContentType: "text/plain", Body: []byte(expectedBody(call.Request.Key, string(call.Body))),
		}, nil
	case <-ctx.Done():
		return upstream.CallResponse{}, ctx.Err()
	}
}

// execute counts an execution and reports whether the response reaches the sender.
func (s *services) execute(id contract.UpstreamID, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults[id] == serviceDown {
		return false
	}
	s.executions[key]++
	return s.faults[id] != serviceLosesResponses || s.random.IntN(2) == 0
}
