package instance

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/link"
	"foxtailhub.example/foxtailhub/internal/membership"
	"foxtailhub.example/foxtailhub/internal/platform"
	"foxtailhub.example/foxtailhub/internal/platform/platformhttp"
	"foxtailhub.example/foxtailhub/internal/settings"
	"foxtailhub.example/foxtailhub/internal/upstream"
	"foxtailhub.example/foxtailhub/internal/upstream/enginehttp"
	"foxtailhub.example/foxtailhub/internal/upstream/servicehttp"
)

// Transport is a transport between instances with its run loop, address and counters.
type Transport interface {
	membership.Transport
	Run(ctx context.Context) error // until ctx ends
	Address() string
	Stats() link.Stats
}

// Dependencies are the external dependencies of an instance.
type Dependencies struct {
	Transport Transport
	Table     platform.TableService
	List      platform.InstanceList
	Engines   upstream.EngineDialer
	Services  upstream.ServiceDialer
	Listener  net.Listener // of the HTTP interface; nil: TCP at the address in the settings
}

// Provision builds an instance with its production dependencies from validated
// settings and binds its link. It sends nothing until Run.
func Provision(s *settings.Settings, log logrus.FieldLogger) (*Instance, error) {
	// The link resolves addresses only while it runs, which is after i is set.
	var i *Instance
	transport, err := newLink(s, log, func(id contract.InstanceID) (string, bool) { return i.membership.Address(id) })
	if err != nil {
		return nil, err
	}
	i, err = New(s, Dependencies{
		Transport: transport,
		Table:     platformhttp.NewTableService(platformConfig(s, s.Platform.TableAddress)),
		List:      platformhttp.NewInstanceList(platformConfig(s, s.Platform.ListAddress)),
		Engines:   enginehttp.NewDialer(),
		Services:  servicehttp.New(servicehttp.Config{}),
	}, log)
	return i, err
}

func platformConfig(s *settings.Settings, address string) platformhttp.Config {
	return platformhttp.Config{Address: address, Timeout: milliseconds(s.Platform.TimeoutMS)}
}

func newLink(
	s *settings.Settings, log logrus.FieldLogger, resolve func(contract.InstanceID) (string, bool),
) (*link.QUICTransport, error) {
	transport, err := link.NewQUICTransport(link.Config{
		Address:         s.LinkAddress,
		AuthorityFile:   s.TLS.AuthorityFile,
		CertificateFile: s.TLS.CertificateFile,
		KeyFile:         s.TLS.KeyFile,
		Regions:         s.Regions,
		Resolve:         resolve,
		Log:             log.WithField("instance", s.Instance),
	})
	if err != nil {
		return nil, err
	}
	if self := transport.Self(); self.Instance != s.Instance || self.Region != s.Region {
		return nil, errors.Newf("tls.certificate_file: names instance %s of region %s, the settings name %s of %s",
			self.Instance, self.Region, s.Instance, s.Region)
	}
	return transport, nil
}
