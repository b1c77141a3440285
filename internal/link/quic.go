package link

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"foxtailhub.example/foxtailhub/internal/contract"
)

// Errors of requests.
var (
	// ErrUnreachable reports that no connection to the peer was usable. The
	// request was not sent.
	ErrUnreachable = errors.New("peer is unreachable")
	// ErrInterrupted reports that the connection failed after the request may
	// have arrived.
	ErrInterrupted = errors.New("connection to the peer failed during the request")
	// ErrRejected reports that the peer responded with an error.
	ErrRejected = errors.New("peer refused the request")
)

const (
	idleTimeout       = 10 * time.Second // after which an idle connection to an instance that is not a peer is closed
	keepAliveInterval = time.Second      // interval of keep-alive packets, with which open streams detect a silent connection
	silenceTimeout    = 4 * time.Second  // without any packet, after which a connection is considered lost
	handshakeTimeout  = 2 * time.Second
	sweepInterval     = time.Second
	maxStreams        = 1024 // concurrent streams of a peer, for requests and streamed responses
	maxRequests       = 64   // concurrent requests of a peer
	receiveWindow     = 64 << 10
	maxStreamWindow   = MaxFrameBytes + 64<<10
	maxConnWindow     = 4 * MaxFrameBytes
)

// Config configures a QUIC transport.
type Config struct {
	// Address is the IP address and port to listen on. Port 0 selects a free port.
	Address string
	// AuthorityFile, CertificateFile and KeyFile name PEM files. The certificate
	// carries the URI foxtailhub://<region>/<instance>.
	AuthorityFile, CertificateFile, KeyFile string
	// Certificate and Authority replace the files if both are set.
	Certificate *tls.Certificate
	Authority   *x509.CertPool
	// Regions lists the accepted regions. Empty: only the region of this instance.
	Regions []string
	// Resolve returns the link address of an instance.
	Resolve func(id contract.InstanceID) (address string, found bool)
	Log     logrus.FieldLogger
}

// QUICTransport implements Transport over QUIC.
type QUICTransport struct {
	config      Config
	log         logrus.FieldLogger
	logLimit    *rate.Limiter // for rejections: a faulty peer must not flood the log
	credentials *credentials
	socket      *net.UDPConn
	transport   *quic.Transport
	unary       map[MessageType]Handler
	streams     map[MessageType]StreamHandler
	counters    counters
	running     sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	peers    map[contract.InstanceID]*peer
	keepOpen map[contract.InstanceID]bool // peers whose connections stay open when idle
	stopped  bool
}

var _ Transport = (*QUICTransport)(nil)

// NewQUICTransport loads the credentials and binds the socket. Run accepts connections.
func NewQUICTransport(config Config) (*QUICTransport, error) {
	if config.Resolve == nil || config.Log == nil {
		return nil, errors.New("link requires Resolve and Log")
	}
	c, err := loadCredentials(config)
	if err != nil {
		return nil, err
	}
	address, err := net.ResolveUDPAddr("udp", config.Address)
	if err != nil {
		return nil, errors.Wrap(err, "resolve the link address")
	}
	socket, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, errors.Wrap(err, "bind the link address")
	}
	return &QUICTransport{
		config:      config,
		log:         config.Log.WithField("instance", c.self.Instance),
		logLimit:    rate.NewLimiter(1, 10),
		credentials: c,
		socket:      socket,
		transport:   &quic.Transport{Conn: socket},
		unary:       map[MessageType]Handler{},
		streams:     map[MessageType]StreamHandler{},
		peers:       map[contract.InstanceID]*peer{},
		keepOpen:    map[contract.InstanceID]bool{},
	}, nil
}

// Self returns the identity of this instance from its certificate.
func (q *QUICTransport) Self() Identity { return q.credentials.self }

// Address returns the address that the transport listens on.
func (q *QUICTransport) Address() string { return q.socket.LocalAddr().String() }

// Handle registers the handler for a message type, before Run.
func (q *QUICTransport) Handle(kind MessageType, handler Handler) { q.unary[kind] = handler }

// HandleStream registers the stream handler for a message type, before Run.
func (q *QUICTransport) HandleStream(kind MessageType, handler StreamHandler) {
	q.streams[kind] = handler
}

// SetPeers sets the instances whose connections stay open when idle.
func (q *QUICTransport) SetPeers(ids []contract.InstanceID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	clear(q.keepOpen)
	for _, id := range ids {
		q.keepOpen[id] = true
	}
}

// Run accepts connections until ctx ends, then closes all connections.
func (q *QUICTransport) Run(ctx context.Context) error {
	listener, err := q.transport.Listen(q.credentials.serverConfig(q.recordRejectedConnection), quicConfig())
	if err != nil {
		return errors.Wrap(err, "listen for links")
	}
	var loops sync.WaitGroup
	loops.Go(func() { q.acceptLoop(ctx, listener) })
	loops.Go(func() { q.sweepLoop(ctx) })
	<-ctx.Done()
	_ = listener.Close()
	loops.Wait()
	return q.close()
}

// start runs f in a goroutine that Run waits for. It returns false, without
// running f, if the transport has stopped.
func (q *QUICTransport) start(f func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.stopped {
		q.running.Go(f)
	}
	return !q.stopped
}

// close closes all connections and waits for their goroutines.
func (q *QUICTransport) close() error {
	q.mu.Lock()
	q.stopped = true
	var all []*connection
	for _, p := range q.peers {
		all = append(all, p.connections()...)
	}
	q.mu.Unlock()
	for _, c := range all {
		c.close(codeStopping, "instance stops")
	}
	q.running.Wait()
	err := q.transport.Close()
	return errors.CombineErrors(err, q.socket.Close())
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 silenceTimeout,
		KeepAlivePeriod:                keepAliveInterval,
		MaxIncomingStreams:             maxStreams,
		RequireStreamCreditRelease:     true,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     receiveWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: receiveWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
	}
}

func (q *QUICTransport) acceptLoop(ctx context.Context, listener *quic.Listener) {
	for {
		conn, err := listener.Accept(ctx)
		if err != nil {
			if ctx.Err() == nil && !errors.Is(err, quic.ErrServerClosed) {
				q.log.WithError(err).Error("accepting link connections failed")
			}
			return
		}
		id, err := identityOf(conn.ConnectionState().TLS.PeerCertificates[0])
		if err != nil {
			_ = conn.CloseWithError(codeRejected, "identity")
			continue
		}
		q.counters.accepted.Add(1)
		q.attach(newConnection(q, id.Instance, conn, false, nil))
	}
}

func (q *QUICTransport) recordRejectedConnection(err error) {
	q.counters.rejectedConnections.Add(1)
	if q.logLimit.Allow() {
		q.log.WithError(err).Warn("rejected a link connection")
	}
}

func (q *QUICTransport) recordRejectedMessage(peer contract.InstanceID, kind MessageType, err error) {
	q.counters.rejectedMessages.Add(1)
	if q.logLimit.Allow() {
		q.log.WithField("peer", peer).WithField("type", kind).WithError(err).Warn("rejected a message of a peer")
	}
}
