package workspace_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/workspace"
)

func drawDemands(rt *rapid.T) []workspace.Demand {
	amounts := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(rt, "amounts")
	demands := make([]workspace.Demand, len(amounts))
	for i, amount := range amounts {
		demands[i] = workspace.Demand{Instance: contract.InstanceID(fmt.Sprint(i)), Amount: amount}
	}
	return demands
}

// Guards against shares whose sum exceeds the limit or leaves a part of it
// unused, and against an instance without a share.
func TestShareProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		demands := drawDemands(rt)
		limit := rapid.Float64Range(0.1, 1000).Draw(rt, "limit")
		slots := rapid.IntRange(1, 200).Draw(rt, "places")
		sum, count := 0.0, 0
		// Each instance has the demands in another order.
		shuffled := rapid.Permutation(demands).Draw(rt, "order")
		for _, d := range demands {
			share := workspace.Share(limit, d.Instance, shuffled)
			if share <= 0 {
				rt.Fatalf("share of %s is %f", d.Instance, share)
			}
			sum += share
			n := workspace.IntegerShare(slots, d.Instance, shuffled)
			if n < 1 && slots >= len(demands) {
				rt.Fatalf("%s has no slot of %d", d.Instance, slots)
			}
			count += n
		}
		if sum > limit*(1+1e-9) || sum < limit*(1-1e-9) {
			rt.Fatalf("sum of shares %f, limit %f", sum, limit)
		}
		if count != slots {
			rt.Fatalf("sum of slots %d, limit %d", count, slots)
		}
	})
}

// Guards against slots that are given to one instance while another one still
// uses them.
func TestSlotsInUseProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		demands := drawDemands(rt)
		inUse, sum := 0, 0
		for i := range demands {
			demands[i].InUse = rapid.IntRange(0, 9).Draw(rt, "held")
			inUse += demands[i].InUse
		}
		slots := rapid.IntRange(1, 200).Draw(rt, "places")
		for _, d := range demands {
			n := workspace.IntegerShare(slots, d.Instance, demands)
			if n < d.InUse {
				rt.Fatalf("%s uses %d slots and has a share of %d", d.Instance, d.InUse, n)
			}
			sum += n
		}
		if sum != max(slots, inUse) {
			rt.Fatalf("sum %d, limit %d, in use %d", sum, slots, inUse)
		}
	})
}

func anyRequest(*workspace.QueuedRequest) bool { return true }

// Guards against a workspace that is served more than its weight allows while
// others wait, for any order of arrivals.
func TestQueueFairness(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0.5, 1, 2, 4}), 2, 5).Draw(rt, "weights")
		const each = 60
		var arrivals []int
		for i := range weights {
			for range each {
				arrivals = append(arrivals, i)
			}
		}
		queue := workspace.NewQueue(len(arrivals))
		for _, i := range rapid.Permutation(arrivals).Draw(rt, "arrivals") {
			queue.Push(&workspace.QueuedRequest{Workspace: contract.WorkspaceID(fmt.Sprint(i)), Weight: weights[i]})
		}
		served := make([]float64, len(weights))
		for served[argmax(served)] < each { // all workspaces are still backlogged
			request, ok := queue.Pop(anyRequest)
			if !ok {
				rt.Fatal("queue is empty")
			}
			var i int
			_, _ = fmt.Sscan(string(request.Workspace), &i)
			served[i]++
			for a := range weights {
				for b := range weights {
					// Bound of start-time fair queueing for unit requests.
					bound := 1/weights[a] + 1/weights[b] + 1e-9
					if d := served[a]/weights[a] - served[b]/weights[b]; d > bound {
						rt.Fatalf("workspace %d is ahead of %d by %f, bound %f", a, b, d, bound)
					}
				}
			}
		}
	})
}

func argmax(values []float64) int {
	best := 0
	for i, v := range values {
		if v > values[best] {
			best = i
		}
	}
	return best
}

// Guards against requests that are lost, duplicated, or served out of priority
// order.
func TestQueueOrderProperty(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(rt, "limit")
		queue := workspace.NewQueue(limit)
		present := map[*workspace.QueuedRequest]bool{}
		for range rapid.IntRange(1, 100).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0, 1:
				request := &workspace.QueuedRequest{
					Workspace: contract.WorkspaceID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "workspace")),
					Weight:    1,
					Priority:  rapid.SampledFrom([]upstream.Priority{upstream.PriorityBatch, upstream.PriorityInteractive, upstream.PriorityResumed}).Draw(rt, "priority"),
				}
				if queue.Push(request) != (len(present) < limit) {
					rt.Fatalf("push at %d of %d", len(present), limit)
				}
				if len(present) < limit {
					present[request] = true
				}
			case 2:
				blocked := contract.WorkspaceID(rapid.SampledFrom([]string{"", "a"}).Draw(rt, "blocked"))
				request, ok := queue.Pop(func(request *workspace.QueuedRequest) bool { return request.Workspace != blocked })
				for other := range present {
					if other.Workspace != blocked && (!ok || other.Priority > request.Priority) {
						rt.Fatal("a request with a higher priority was passed over")
					}
				}
				if ok && (!present[request] || request.Workspace == blocked) {
					rt.Fatal("popped a request that must not be popped")
				}
				if ok && rapid.Bool().Draw(rt, "restore") {
					queue.Restore(request)
					continue
				}
				delete(present, request)
			case 3:
				for request := range present {
					if !queue.Remove(request) || queue.Remove(request) {
						rt.Fatal("a request was not removed exactly once")
					}
					delete(present, request)
					break
				}
			}
			if queue.Len() != len(present) {
				rt.Fatalf("length %d, present %d", queue.Len(), len(present))
			}
		}
	})
}

// Guards against an estimate that is too short, which admits requests that
// cannot be served in time.
func TestExpectedWait(t *testing.T) {
	g := NewWithT(t)
	g.Expect(workspace.ExpectedWait(0, 4, 8000)).To(BeEquivalentTo(2000))
	g.Expect(workspace.ExpectedWait(3, 4, 8000)).To(BeEquivalentTo(8000))
}
