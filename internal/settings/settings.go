// Package settings loads the settings of the daemon from one JSON file, validates
// them against a schema and applies defaults.
//
// The package must never accept an unknown field.
package settings

import (
	_ "embed"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/schema"
)

//go:embed schema.json
var schemaText []byte

var settingsSchema = schema.MustCompile("settings.json", schemaText)

// Settings are the settings of one instance. schema.json documents each field
// and is the source of docs/settings.md.
type Settings struct {
	Instance             contract.InstanceID      `json:"instance"`                         // unique among all regions
	Region               string                   `json:"region"`                           //
	Regions              []string                 `json:"regions,omitempty"`                // linked regions, default: Region alone
	FailureDomain        contract.FailureDomainID `json:"failure_domain"`                   //
	APIAddress           string                   `json:"api_address"`                      // IP and port, TCP
	LinkAddress          string                   `json:"link_address"`                     // IP and port, UDP
	AdvertiseLinkAddress string                   `json:"advertise_link_address,omitempty"` // default: LinkAddress
	TLS                  TLS                      `json:"tls"`
	Platform             Platform                 `json:"platform"`
	Seeds                []Seed                   `json:"seeds,omitempty"`           // default: none
	DrainGraceMS         int64                    `json:"drain_grace_ms"`            // milliseconds, default 0: no limit
	DrainLingerMS        int64                    `json:"drain_linger_ms"`           // milliseconds, default 5000
	RecordRetentionMS    int64                    `json:"record_retention_ms"`       // milliseconds, default 24 h
	LogLevel             string                   `json:"log_level"`                 // default "info"
	TimelineCapacity     int                      `json:"timeline_capacity"`         // events, default 16384
	HeartbeatIntervalMS  int64                    `json:"heartbeat_interval_ms"`     // milliseconds, default 500
	ListIntervalMS       int64                    `json:"list_interval_ms"`          // milliseconds, default 1000
	ConfigIntervalMS     int64                    `json:"configuration_interval_ms"` // milliseconds, default 1000
	DepartureHoldMS      int64                    `json:"departure_hold_ms"`         // milliseconds, default 10 min
}

// TLS names the files for mutual TLS between instances. Load resolves relative
// names against the directory of the settings file.
type TLS struct {
	CertificateFile string `json:"certificate_file"` // PEM
	KeyFile         string `json:"key_file"`         // PEM
	AuthorityFile   string `json:"authority_file"`   // PEM
}

// Platform is how to reach the services of the platform.
type Platform struct {
	TableAddress string `json:"table_address"` // base URL
	ListAddress  string `json:"list_address"`  // base URL
	TimeoutMS    int64  `json:"timeout_ms"`    // milliseconds for one request, default 2000
}

// Seed is another instance that this one contacts at startup.
type Seed struct {
	ID            contract.InstanceID      `json:"id"`
	LinkAddress   string                   `json:"link_address"` // IP and port
	FailureDomain contract.FailureDomainID `json:"failure_domain"`
}

// Defaults returns settings in which only the fields with a constant default
// are set.
func Defaults() Settings {
	return Settings{
		Platform:            Platform{TimeoutMS: 2000},
		DrainLingerMS:       5000,
		RecordRetentionMS:   24 * 60 * 60 * 1000,
		LogLevel:            "info",
		TimelineCapacity:    16384,
		HeartbeatIntervalMS: 500,
		ListIntervalMS:      1000,
		ConfigIntervalMS:    1000,
		DepartureHoldMS:     10 * 60 * 1000,
	}
}

// Load reads a settings file. The error is one line with the file, the path of
// the invalid value and the reason.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	s, err := Parse(data)
	if err != nil {
		return nil, errors.Wrapf(err, "settings %s", path)
	}
	directory := filepath.Dir(path)
	for _, name := range []*string{&s.TLS.CertificateFile, &s.TLS.KeyFile, &s.TLS.AuthorityFile} {
		if !filepath.IsAbs(*name) {
			*name = filepath.Join(directory, *name)
		}
	}
	return s, nil
}

// Parse decodes settings, applies the defaults and validates the result. The
// error is a *schema.ValidationError.
func Parse(data []byte) (*Settings, error) {
	s := Defaults()
	if err := settingsSchema.Decode(data, &s); err != nil {
		return nil, err
	}
	if len(s.Regions) == 0 {
		s.Regions = []string{s.Region}
	}
	if s.AdvertiseLinkAddress == "" {
		s.AdvertiseLinkAddress = s.LinkAddress
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// check validates rules that the schema cannot express.
func (s *Settings) check() error {
	if !slices.Contains(s.Regions, s.Region) {
		return &schema.ValidationError{Path: "regions", Reason: "must contain region"}
	}
	for _, listen := range []struct{ path, value string }{
		{"api_address", s.APIAddress}, {"link_address", s.LinkAddress},
	} {
		if _, err := netip.ParseAddrPort(listen.value); err != nil {
			return &schema.ValidationError{Path: listen.path, Reason: addressReason}
		}
	}
	if err := checkReachable("advertise_link_address", s.AdvertiseLinkAddress); err != nil {
		return err
	}
	if err := s.Platform.check(); err != nil {
		return err
	}
	return s.checkSeeds()
}

const addressReason = "must be an IP address and a port, such as 127.0.0.1:7400"

// checkReachable validates an address that other instances connect to.
func checkReachable(path, value string) error {
	address, err := netip.ParseAddrPort(value)
	if err != nil {
		return &schema.ValidationError{Path: path, Reason: addressReason}
	}
	if address.Addr().IsUnspecified() || address.Port() == 0 {
		return &schema.ValidationError{Path: path, Reason: "must name a specific IP address and a port from 1 to 65535"}
	}
	return nil
}

func (p Platform) check() error {
	for _, service := range []struct{ path, value string }{
		{"platform.table_address", p.TableAddress},
		{"platform.list_address", p.ListAddress},
	} {
		u, err := url.Parse(service.value)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return &schema.ValidationError{Path: service.path, Reason: "must be a URL such as http://127.0.0.1:7300"}
		}
	}
	return nil
}

func (s *Settings) checkSeeds() error {
	seen := map[contract.InstanceID]bool{}
	for i, seed := range s.Seeds {
		path := "seeds[" + strconv.Itoa(i) + "]"
		if seen[seed.ID] {
			return &schema.ValidationError{Path: path + ".id", Reason: "is given twice"}
		}
		seen[seed.ID] = true
		if err := checkReachable(path+".link_address", seed.LinkAddress); err != nil {
			return err
		}
	}
	return nil
}
