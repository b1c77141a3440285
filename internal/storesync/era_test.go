package storesync

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/discovery"
	"foxtailhub.example/foxtailhub/internal/link"
)

// peer is a syncer whose rows a test sets, with direct connections to other peers.
type peer struct {
	*Syncer
	g       Gomega
	returns int // batches of the topic Configuration that were marked as the first after a return
}

// directTransport passes requests to handlers.
type directTransport struct {
	Transport
	handlers map[contract.InstanceID]link.Handler
}

func (d directTransport) Request(ctx context.Context, id contract.InstanceID, _ link.MessageType, body []byte) ([]byte, error) {
	return d.handlers[id](ctx, "follower", body)
}

// newPeers returns peers that have read nothing yet.
func newPeers(t *testing.T, handlers map[contract.InstanceID]link.Handler, ids ...contract.InstanceID) map[contract.InstanceID]*peer {
	began, peers := time.Now(), map[contract.InstanceID]*peer{}
	clock := func() time.Duration { return time.Since(began) }
	for _, id := range ids {
		p := &peer{g: NewWithT(t)}
		logs, maxAge := map[discovery.Topic]*discovery.ChangeLog{}, map[discovery.Topic]time.Duration{}
		for _, topic := range topics {
			logs[topic] = discovery.NewChangeLog(topic, clock, discovery.SameValue, discardLogger(), func(batch discovery.Batch, _ time.Duration) {
				if batch.Returned && topic == discovery.Configuration {
					p.returns++
				}
			}, discovery.KeepNewer(lowerNumber))
			maxAge[topic] = maxRowAge
		}
		p.Syncer = NewSyncer(Config{
			Self: Member{ID: id}, Logs: logs, MaxAge: maxAge, Clock: clock, Members: NewMembers(Member{ID: id}, discardLogger()),
			StoreFailing: func() bool { return false }, Eras: discovery.NewEraTracker(), Log: discardLogger(), Metrics: NewMetrics(prometheus.NewRegistry()),
		})
		p.SetTransport(directTransport{handlers: handlers})
		handlers[id] = p.serveUpdates
		peers[id] = p
	}
	return peers
}

// lowerNumber reports whether a row has a lower number than the held one, as a configuration with a
// lower version.
func lowerNumber(held, row discovery.Row) bool {
	before, beforeErr := strconv.Atoi(string(held.Value))
	after, afterErr := strconv.Atoi(string(row.Value))
	return beforeErr == nil && afterErr == nil && after < before
}

// readStore applies all rows of each topic as of a revision, in which the row "a" has a value.
func (p *peer) readStore(era discovery.Era, version int64, value string) {
	p.Eras.Observe(era)
	for _, topic := range topics {
		p.Logs[topic].Apply(discovery.Update{
			Batch: discovery.Batch{Era: era, Version: version, Rows: []discovery.Row{{Key: "a", Value: []byte(value), Version: version}}},
			Full:  true, AsOf: p.Clock(),
		})
	}
}

func (p *peer) poll(from contract.InstanceID) error { return p.pollPeer(context.Background(), from, 0) }

// held returns the era, version and value that the peer has of a topic.
func (p *peer) held(topic discovery.Topic) string {
	update, _, _ := p.Logs[topic].Since(discovery.Position{}, discovery.Revision{})
	value := ""
	for _, row := range update.Rows {
		value += string(row.Value)
	}
	return strconv.Itoa(int(update.Era)) + "/" + strconv.Itoa(int(update.Version)) + "=" + value
}

// expectHeld checks what the peer has of each topic.
func (p *peer) expectHeld(want string) {
	for _, topic := range topics {
		p.g.Expect(p.held(topic)).To(Equal(want), "%s of %s", topic, p.Self.ID)
	}
}

// Guards against followers that keep the rows of an earlier era, at the end of a chain too, or lose
// those of a later era to a peer that is behind.
func TestReturnOfStorePassesChainOfFollowers(t *testing.T) {
	for name, version := range map[string]int64{"lower version": 34, "same version": 35, "higher version": 36} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := newPeers(t, map[contract.InstanceID]link.Handler{}, "a", "b", "c", "d")
			p["a"].readStore(1, 35, "x")
			g.Expect(p["b"].poll("a")).To(Succeed())
			g.Expect(p["c"].poll("b")).To(Succeed())
			p["c"].expectHeld("1/35=x")
			want := "2/" + strconv.FormatInt(version, 10) + "=y"

			p["a"].readStore(2, version, "y")
			g.Expect(p["c"].poll("b")).To(Succeed(), "both are behind")
			p["c"].expectHeld("1/35=x")
			g.Expect(p["b"].poll("a")).To(Succeed())
			g.Expect(p["d"].poll("b")).To(Succeed(), "an instance that starts")
			g.Expect(p["d"].poll("c")).To(MatchError(ContainSubstring("stale")))
			g.Expect(p["c"].poll("d")).To(Succeed())
			for _, each := range p {
				each.expectHeld(want)
			}
			g.Expect(p["b"].returns).To(Equal(1))
			g.Expect(p["c"].returns).To(Equal(1))
			g.Expect(p["d"].returns).To(BeZero())
			var dropped dto.Metric
			g.Expect(p["d"].Metrics.dropped.WithLabelValues("earlier_era").Write(&dropped)).To(Succeed())
			g.Expect(dropped.GetCounter().GetValue()).To(BeEquivalentTo(len(topics)))

			p["a"].readStore(3, 20, "z")
			p["a"].readStore(4, 10, "w")
			g.Expect(p["b"].poll("a")).To(Succeed(), "two returns at once")
			p["b"].expectHeld("4/10=w")
			g.Expect(p["b"].returns).To(Equal(2))
		})
	}
}

// Guards against an instance that starts after a return of the store and stays with the
// configuration of the copy, although its source has a newer one, or that gives it to others.
func TestStartedInstanceGetsNewerConfigurationThanThatOfCopy(t *testing.T) {
	g := NewWithT(t)
	p := newPeers(t, map[contract.InstanceID]link.Handler{}, "a", "started")
	p["a"].readStore(1, 35, "13")
	p["a"].readStore(2, 34, "12")
	p["started"].readStore(2, 34, "12")
	g.Expect(p["a"].poll("started")).To(Succeed())
	p["a"].expectHeld("2/34=13")
	g.Expect(p["started"].poll("a")).To(Succeed())
	p["started"].expectHeld("2/34=13")
}

// Guards against followers that learn of a return without a changed row only after the hold time
// of their request.
func TestReturnOfStoreEndsHeldRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPeers(t, map[contract.InstanceID]link.Handler{}, "a", "b")
		p["a"].readStore(1, 35, "x")
		g.Expect(p["b"].poll("a")).To(Succeed())
		go func() {
			time.Sleep(100 * time.Millisecond)
			p["a"].readStore(2, 34, "x")
		}()
		began := time.Now()
		g.Expect(p["b"].pollPeer(t.Context(), "a", 5*time.Second)).To(Succeed())
		g.Expect(time.Since(began)).To(Equal(100 * time.Millisecond))
		g.Expect(p["b"].held(discovery.Configuration)).To(Equal("2/34=x"))
	})
}

// Messages of builds of before the eras.
type (
	requestWithoutEras struct {
		Positions []wirePosition `cbor:"1,keyasint"`
		HoldMS    int64          `cbor:"2,keyasint"`
	}
	responseWithoutEras struct {
		Topics  []wireUpdate `cbor:"1,keyasint"`
		HeldMS  int64        `cbor:"2,keyasint"`
		Leaving bool         `cbor:"3,keyasint"`
		Stale   bool         `cbor:"4,keyasint"`
	}
)

// Guards against a rolling update in which builds without eras and those with them refuse each
// other's messages, or in which rows without an era are taken for those of a later one.
func TestBuildsWithoutErasFollowAndAreFollowed(t *testing.T) {
	g := NewWithT(t)
	handlers := map[contract.InstanceID]link.Handler{}
	handlers["old"] = func(_ context.Context, _ contract.InstanceID, body []byte) ([]byte, error) {
		var request requestWithoutEras
		if err := link.Decode(body, &request); err != nil {
			return nil, err
		}
		response := responseWithoutEras{}
		for range topics {
			response.Topics = append(response.Topics, wireUpdate{
				Loaded: true, Log: "old", Sequence: 1, Version: 36, AgeMS: 1, Full: true, Rows: []wireRow{{Key: "a", Value: []byte("old"), Version: 36}},
			})
		}
		return link.Encode(response)
	}
	p := newPeers(t, handlers, "new", "started")
	// ask sends the request of an old build and returns the response as an old build decodes it.
	ask := func(version int64, from wireUpdate) responseWithoutEras {
		request := requestWithoutEras{}
		for range topics {
			request.Positions = append(request.Positions, wirePosition{Log: from.Log, Sequence: from.Sequence, Version: version})
		}
		body, err := p["new"].serveUpdates(t.Context(), "old", mustEncode(t, request))
		g.Expect(err).NotTo(HaveOccurred())
		var response responseWithoutEras
		g.Expect(link.Decode(body, &response)).To(Succeed())
		return response
	}
	p["new"].readStore(1, 35, "x")
	first := ask(0, wireUpdate{}).Topics[0]
	g.Expect(first.Full).To(BeTrue())
	g.Expect(first.Rows).To(HaveLen(1))
	g.Expect(p["new"].poll("old")).To(Succeed(), "before any return")
	p["new"].expectHeld("1/36=old")
	g.Expect(p["started"].poll("old")).To(Succeed())

	p["new"].readStore(2, 34, "y")
	response := ask(36, first)
	g.Expect(response.Topics[0].Rows).To(BeEmpty(), "an old build would drop a lower version")
	g.Expect(p["new"].poll("old")).To(MatchError(ContainSubstring("stale")))
	p["new"].expectHeld("2/34=y")
	p["new"].readStore(2, 37, "z")
	response = ask(36, first)
	g.Expect(response.Topics[0].Rows).To(HaveLen(1))

	p["started"].Eras.Observe(2)
	g.Expect(p["started"].poll("old")).To(MatchError(ContainSubstring("stale")), "the store has shown a later era")
	g.Expect(p["started"].poll("new")).To(Succeed())
	p["started"].expectHeld("2/37=z")
}

// Guards against topics with a long pause that are read late after a return of the store, all at
// one moment, or by each follower.
func TestReturnOfStoreReschedulesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		p := newPeers(t, map[contract.InstanceID]link.Handler{}, "reader", "follower")
		for _, each := range p {
			each.readStore(1, 35, "x")
		}
		p["reader"].source = dataSource{readStore: true}
		p["follower"].source = dataSource{peer: "reader"}
		pause := discovery.PollSchedule{Pause: time.Minute}
		for _, each := range p {
			each.MaxAge[discovery.Instances] = time.Minute
		}
		delays := map[contract.InstanceID]time.Duration{}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		began := time.Now()
		done := make(chan contract.InstanceID)
		for id, each := range p {
			go func() {
				each.AwaitRead(ctx, discovery.Instances, pause, began)
				done <- id
			}()
		}
		time.Sleep(time.Second)
		for _, each := range p {
			each.Eras.Observe(2)
		}
		for range p {
			delays[<-done] = time.Since(began) - time.Second
		}
		g.Expect(delays["reader"]).To(BeNumerically("<=", 100*time.Millisecond))
		g.Expect(delays["follower"]).To(Equal(9 * time.Second))
	})
}
