package emulator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// storeResponse is a response of a store.
type storeResponse struct {
	status  int
	era     string
	aborted bool // the connection was reset
	values  map[string]string
	version int64
}

func storeCall(g Gomega, s *Store, method, path, body string) (response storeResponse) {
	w := httptest.NewRecorder()
	defer func() {
		if failure := recover(); failure != nil {
			g.Expect(failure).To(Equal(http.ErrAbortHandler))
			response.aborted = true
		}
	}()
	s.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	response = storeResponse{status: w.Code, era: w.Header().Get("Store-Era")}
	if w.Code != http.StatusOK || w.Body.Len() == 0 {
		return response
	}
	response.values = map[string]string{}
	var rows struct {
		Rows    []row `json:"rows"`
		Version int64 `json:"ver"`
	}
	g.Expect(json.Unmarshal(w.Body.Bytes(), &rows)).To(Succeed())
	for _, r := range rows.Rows {
		response.values[r.Key] = string(r.Value)
		if r.Tombstone {
			response.values[r.Key] = "removed"
		}
	}
	response.version = rows.Version
	return response
}

func storeWrite(g Gomega, s *Store, key, value string) storeResponse {
	tx := transaction{Set: []row{{Table: "op", Key: key, Value: []byte(value)}}}
	if value == "" {
		tx = transaction{Remove: []row{{Table: "op", Key: key}}}
	}
	body, err := json.Marshal(tx)
	g.Expect(err).NotTo(HaveOccurred())
	return storeCall(g, s, http.MethodPost, "/v1/rows-tx", string(body))
}

func readRows(g Gomega, s *Store) storeResponse {
	return storeCall(g, s, http.MethodGet, "/v1/rows-get?table=op&part=", "")
}

func readChanges(g Gomega, s *Store, since int64, waitMS int) storeResponse {
	return storeCall(g, s, http.MethodGet, fmt.Sprintf("/v1/rows-feed?table=op&since_rev=%d&wait_ms=%d", since, waitMS), "")
}

// Guards against a return that keeps rows, tombstones or versions of after the copy, or that loses older ones.
func TestRestoredStoreIsAsOfItsCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := NewStore()
		storeWrite(g, s, "changed", "old")
		storeWrite(g, s, "removed", "old")
		storeWrite(g, s, "gone", "old")
		storeWrite(g, s, "gone", "")
		time.Sleep(3 * time.Second)
		storeWrite(g, s, "changed", "new")
		storeWrite(g, s, "removed", "")
		storeWrite(g, s, "gone", "again")
		storeWrite(g, s, "created", "new")
		g.Expect(readRows(g, s)).To(Equal(storeResponse{
			status: http.StatusOK, era: "1", version: 8, values: map[string]string{"changed": "new", "gone": "again", "created": "new"},
		}))
		time.Sleep(time.Second)
		s.Restore(Restore{LostMS: 2000})
		g.Expect(readRows(g, s)).To(Equal(storeResponse{
			status: http.StatusOK, era: "2", version: 4, values: map[string]string{"changed": "old", "removed": "old"},
		}))
		g.Expect(readChanges(g, s, 0, 0).values).To(Equal(map[string]string{"changed": "old", "removed": "old", "gone": "removed"}))
		g.Expect(readChanges(g, s, 8, 0)).To(Equal(storeResponse{status: http.StatusGone, era: "2"}))
		g.Expect(readChanges(g, s, 5, 1000).status).To(Equal(http.StatusGone), "not held")

		for i := range 5 {
			g.Expect(storeWrite(g, s, "other", fmt.Sprint(i)).version).To(BeEquivalentTo(5 + i))
		}
		g.Expect(readChanges(g, s, 8, 0).values).To(Equal(map[string]string{"other": "4"}), "a version that was given out again")

		time.Sleep(time.Second)
		s.Restore(Restore{LostMS: 1500})
		g.Expect(readRows(g, s)).To(Equal(storeResponse{
			status: http.StatusOK, era: "3", version: 8, values: map[string]string{"changed": "new", "gone": "again", "created": "new"},
		}), "a copy from before the last return")
	})
}

// Guards against responses that do not state the era, or state one that is not theirs.
func TestResponsesOfStoreStateItsEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := NewStore()
		s.Restore(Restore{LostMS: 1})
		g.Expect(storeWrite(g, s, "key", "value").era).To(Equal("2"))
		unmet := `{"expected_rev":[{"table":"op","key":"key","ver":7}]}`
		g.Expect(storeCall(g, s, http.MethodPost, "/v1/rows-tx", unmet)).To(Equal(storeResponse{status: http.StatusPreconditionFailed, era: "2"}))
		g.Expect(readChanges(g, s, 100, 0).era).To(Equal("2"))
		g.Expect(storeCall(g, s, http.MethodGet, "/v1/rows-feed?since_rev=x", "").era).To(Equal("2"))
		g.Expect(storeCall(g, s, http.MethodGet, "/v1/unknown", "").era).To(Equal("2"))
		for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests} {
			setStoreFault(g, s, StoreFault{Status: status})
			g.Expect(readRows(g, s)).To(Equal(storeResponse{status: status, era: "2"}))
		}
	})
}

func setStoreFault(g Gomega, s *Store, fault StoreFault) {
	body, err := json.Marshal(fault)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(storeCall(g, s, http.MethodPost, "/fault", string(body)).status).To(Equal(http.StatusOK))
}

// Guards against a store that answers or takes writes while it is away, and against held calls that outlive its return.
func TestStoreIsAwayBeforeItsReturn(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset=", reset), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				s := NewStore()
				storeWrite(g, s, "key", "old")
				time.Sleep(2 * time.Second)
				storeWrite(g, s, "key", "new")
				began := time.Now()
				held := make(chan storeResponse, 1)
				go func() { held <- readChanges(g, s, 2, 20_000) }()
				time.Sleep(time.Second)
				setStoreFault(g, s, StoreFault{Restore: &Restore{LostMS: 2000, AwayMS: 1500, ResetHeld: reset}})
				time.Sleep(time.Millisecond)
				g.Expect(storeWrite(g, s, "key", "away").aborted).To(BeTrue())
				g.Expect(readRows(g, s).aborted).To(BeTrue())
				time.Sleep(1498 * time.Millisecond)
				synctest.Wait()
				g.Expect(held).To(BeEmpty())
				time.Sleep(time.Millisecond)
				synctest.Wait()
				g.Expect(time.Since(began)).To(Equal(2500 * time.Millisecond))
				g.Expect(s.Era()).To(BeEquivalentTo(2))
				if reset {
					g.Expect((<-held).aborted).To(BeTrue())
				} else {
					g.Expect(<-held).To(Equal(storeResponse{status: http.StatusGone, era: "2"}))
				}
				g.Expect(readRows(g, s).values).To(Equal(map[string]string{"key": "old"}))
			})
		})
	}
}

// Guards against a late response that shows the state or the era of the store when it is sent.
func TestLateResponseIsOfTheEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := NewStore()
		time.Sleep(time.Second)
		storeWrite(g, s, "key", "lost")
		setStoreFault(g, s, StoreFault{LateMS: 500})
		late := make(chan storeResponse, 1)
		go func() { late <- readRows(g, s) }()
		synctest.Wait()
		time.Sleep(100 * time.Millisecond)
		s.Restore(Restore{LostMS: 1000})
		setStoreFault(g, s, StoreFault{})
		g.Expect(readRows(g, s)).To(Equal(storeResponse{status: http.StatusOK, era: "2", values: map[string]string{}}))
		time.Sleep(399 * time.Millisecond)
		synctest.Wait()
		g.Expect(late).To(BeEmpty())
		time.Sleep(time.Millisecond)
		synctest.Wait()
		g.Expect(<-late).To(Equal(storeResponse{status: http.StatusOK, era: "1", version: 1, values: map[string]string{"key": "lost"}}))
	})
}
