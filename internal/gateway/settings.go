package gateway

import (
	_ "embed"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/schema"
)

//go:embed schema.json
var schemaText []byte

var settingsSchema = schema.MustCompile("gateway.json", schemaText)

// Settings are the settings of a gateway. schema.json documents each field.
type Settings struct {
	Instance         string  `json:"instance"`
	FailureDomain    string  `json:"failure_domain"`
	FrontAddress     string  `json:"front_address"`
	ReadinessAddress string  `json:"readiness_address"`
	MetricsAddress   string  `json:"metrics_address,omitempty"`
	LinkAddress      string  `json:"link_address,omitempty"`
	Weight           float64 `json:"weight"`
	FirstStart       bool    `json:"first_start"`
	StoreAddress     string  `json:"store_address"`
	GraceMS          float64 `json:"grace_ms"`
	LeavingMS        float64 `json:"leaving_ms"`
	ConfigurationMS  float64 `json:"configuration_ms"`
	MemoryMB         int64   `json:"memory_mb"`
	Descriptors      int     `json:"descriptors"`
	RetryShare       float64 `json:"retry_share"`
	LogLevel         string  `json:"log_level"`
	LogLines         int     `json:"log_lines_per_second"`
}

// LoadSettings reads a settings file. The error is one line that names the
// file, the path of the bad value and the reason.
func LoadSettings(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := ParseSettings(data)
	return s, errors.Wrapf(err, "settings %s", path)
}

// ParseSettings decodes settings, checks them and applies the defaults.
func ParseSettings(data []byte) (*Settings, error) {
	s := Settings{
		Weight: 1, GraceMS: 8000, LeavingMS: 2000, ConfigurationMS: 2000, MemoryMB: 256, Descriptors: 4096, RetryShare: 0.8,
		LogLevel: "info", LogLines: 200,
	}
	if err := settingsSchema.Decode(data, &s); err != nil {
		return nil, err
	}
	return &s, s.check()
}

func (s *Settings) check() error {
	for _, address := range []struct{ path, value string }{
		{"front_address", s.FrontAddress}, {"readiness_address", s.ReadinessAddress},
		{"store_address", s.StoreAddress}, {"metrics_address", s.MetricsAddress}, {"link_address", s.LinkAddress},
	} {
		if address.value == "" {
			continue // the schema checks which addresses are required
		}
		if _, err := netip.ParseAddrPort(address.value); err != nil {
			return &schema.ValidationError{Path: address.path, Reason: "must be an IP address and a port, such as 127.0.0.1:7400"}
		}
	}
	return nil
}

const (
	// bodyShare is the share of the machine's memory for bodies of requests and responses.
	// The rest is for the program, its connections and the garbage between two
	// collections.
	bodyShare = 0.3
	// reservedDescriptors are reserved for files, listeners, the store and probes.
	reservedDescriptors = 400
	// requestDescriptors is the maximum number of connections of a request at a time: one
	// of its caller, two to upstreams, and one for a load report.
	requestDescriptors = 4
	// connectionShare is the share of the descriptors for connections of callers, many of
	// which are idle.
	connectionShare = 0.5
)

// bodyMemory returns the memory for bodies of requests and responses, in bytes.
func (s *Settings) bodyMemory() int64 { return int64(bodyShare * float64(s.MemoryMB<<20)) }

// maxRequests returns the maximum number of requests in progress.
func (s *Settings) maxRequests() int {
	return (s.Descriptors - reservedDescriptors) / requestDescriptors
}

// maxConnections returns the maximum number of open connections of callers.
func (s *Settings) maxConnections() int {
	return int(connectionShare * float64(s.Descriptors-reservedDescriptors))
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
