package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const longEventBytes = 40 << 10

func longEventText(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", longEventBytes))
}

func longEventsText(to int) string {
	var b strings.Builder
	for id := 1; id <= to; id++ {
		b.WriteString(longEventText(id))
	}
	return b.String()
}

// sendLongEvents sends events that need memory for bodies, each in two pieces.
func sendLongEvents(to int) behaviour {
	return func(req receivedRequest) (*http.Response, error) {
		last, _ := strconv.Atoi(req.header.Get("Last"))
		reader, writer := io.Pipe()
		go func() {
			defer writer.Close()
			for id := last + 1; id <= to; id++ {
				text := longEventText(id)
				for _, piece := range []string{text[:longEventBytes/2], text[longEventBytes/2:]} {
					if !pause(req.ctx, testInterval) {
						return
					}
					if _, err := io.WriteString(writer, piece); err != nil {
						return
					}
				}
			}
		}()
		r := response(http.StatusOK, "")
		r.Body = reader
		return r, nil
	}
}

// useUpBodyMemory reserves the memory for bodies but for a rest, once the requests that are sent
// now have been read. It returns what it reserves.
func (h *harness) useUpBodyMemory(rest int64) *atomic.Int64 {
	var used atomic.Int64
	time.AfterFunc(testInterval/2, func() {
		used.Store(testMemory - rest - h.f.BodyMemory.Used())
		h.g.Expect(h.f.BodyMemory.reserve(used.Load())).To(BeTrue())
	})
	return &used
}

// Guards against cutting off streams with long events because the memory for bodies is used up, and against streams that wait for each other's memory.
func TestMemoryLimitCutsNoStream(t *testing.T) {
	for _, rest := range []int64{0, 30 << 10, 100 << 10} {
		inVirtualTime(t, func(t *testing.T) {
			const streams = 2 * eventSlots
			h := newHarness(t, streaming, true, "a", "b", "c")
			h.setBehaviour(sendLongEvents(10), "a", "b", "c")
			used := h.useUpBodyMemory(rest)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				for pause(ctx, time.Millisecond) {
					h.g.Expect(h.f.BodyMemory.slots.Load()).To(BeNumerically("<=", eventSlots))
					h.g.Expect(h.f.BodyMemory.Used()).To(BeNumerically("<=", testMemory))
				}
			}()
			for _, got := range h.requestAtOnce(t.Context(), streams) {
				h.g.Expect(got.aborted).To(BeFalse())
				h.g.Expect(got.body == longEventsText(10)).To(BeTrue())
			}
			h.g.Expect(h.receivedBy()).To(HaveLen(streams))
			h.g.Expect(h.f.BodyMemory.Used()).To(Equal(used.Load()))
			h.g.Expect(h.f.BodyMemory.slots.Load()).To(BeZero())
		})
	}
}

// Guards against leaving a sound upstream because this instance waits for memory.
func TestWaitForMemoryIsNoStall(t *testing.T) {
	for _, silent := range []bool{false, true} {
		inVirtualTime(t, func(t *testing.T) {
			h := newHarness(t, streaming, true, "a", "b", "c")
			h.setBehaviour(sendLongEvents(10), "a", "b", "c")
			h.useUpBodyMemory(0)
			time.AfterFunc(300*time.Millisecond, func() { h.f.BodyMemory.slots.Add(eventSlots) })
			time.AfterFunc(5*time.Second, func() { h.f.BodyMemory.slots.Add(-eventSlots) })
			time.AfterFunc(time.Second, func() { h.setSilent("a", silent); h.setSilent("b", silent); h.setSilent("c", silent) })
			got := h.request(t.Context(), nil)
			h.g.Expect(got.aborted).To(BeFalse())
			h.g.Expect(got.body == longEventsText(10)).To(BeTrue())
			h.g.Expect(h.receivedBy()).To(HaveLen(1))
			h.g.Expect(got.duration).To(BeNumerically("<", 7*time.Second))
		})
	}
}

// Guards against a stream that waits for memory after its caller has left or its deadline has passed.
func TestWaitForMemoryEndsWithTheRequest(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.setBehaviour(sendLongEvents(10), "a", "b", "c")
		used := h.useUpBodyMemory(0)
		h.f.BodyMemory.slots.Store(eventSlots)
		h.g.Expect(h.request(t.Context(), map[string]string{"Deadline": "3000"}).duration).To(Equal(3 * time.Second))
		h.f.BodyMemory.release(used.Load())
		used = h.useUpBodyMemory(0)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		h.g.Expect(h.request(ctx, nil).duration).To(Equal(2 * time.Second))
		time.Sleep(time.Second)
		h.g.Expect(h.f.BodyMemory.Used()).To(Equal(used.Load()))
		h.g.Expect(h.f.BodyMemory.slots.Load()).To(BeEquivalentTo(eventSlots))
	})
}

// Guards against memory that stays reserved after a run was cut off within a long event, or left with events that wait.
func TestMemoryOfAbandonedEventsIsFreed(t *testing.T) {
	cut := respondAfter(testInterval, func(req receivedRequest) (*http.Response, error) {
		r := response(http.StatusOK, "")
		r.Body = io.NopCloser(io.MultiReader(strings.NewReader(longEventText(1)[:longEventBytes]), errorReader{errReset}))
		return r, nil
	})
	inVirtualTime(t, func(t *testing.T) {
		h := newHarness(t, streaming, true, "a", "b", "c")
		h.setBehaviour(firstThen(cut, func(req receivedRequest) (*http.Response, error) {
			h.g.Expect(h.f.BodyMemory.slots.Load()).To(BeZero())
			return sendLongEvents(10)(req)
		}), "a", "b", "c")
		used := h.useUpBodyMemory(0)
		got := h.request(t.Context(), nil)
		h.g.Expect(got.aborted).To(BeFalse())
		h.g.Expect(got.body == longEventsText(10)).To(BeTrue())
		h.g.Expect(h.f.BodyMemory.Used()).To(Equal(used.Load()))
	})
}

// Guards against waiting for memory for an event that exceeds the maximum size.
func TestTooLongEventEndsTheRun(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		r := streaming
		r.MaxAttempts = 1
		h := newHarness(t, r, true, "a")
		h.useUpBodyMemory(0)
		h.setBehaviour(respondAfter(testInterval, respondWith(http.StatusOK, "data: "+strings.Repeat("x", maxEventBytes)+"\n\n")), "a")
		got := h.request(t.Context(), nil)
		h.g.Expect(got.status).To(Equal(http.StatusBadGateway))
		h.g.Expect(got.duration).To(BeNumerically("<", time.Second))
	})
}
