package cli

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
	"foxtailhub.example/foxtailhub/internal/tlskeys"
)

func keysCommand() command {
	return command{
		name:    "keys",
		usage:   "INSTANCE...",
		summary: "Creates certificates of instances, and a development authority if there is none yet.",
		setup: func(flags *flag.FlagSet) runner {
			directory := flags.String("dir", "keys", "directory of the authority and the certificates; existing files are not overwritten")
			region := flags.String("region", "", "region of the instances (required)")
			addresses := flags.String("ip", "127.0.0.1", "comma-separated IP numbers of the instances' links")
			return func(_ context.Context, env IOStreams, _ *client.Client, instances []string) (ExitCode, error) {
				if *region == "" || len(instances) == 0 {
					return ExitUsage, usageError("-region and at least one instance are required")
				}
				ips, err := parseAddresses(*addresses)
				if err != nil {
					return ExitUsage, usageError("-ip: %v", err)
				}
				return createKeys(env, *directory, *region, ips, instances)
			}
		},
	}
}

func parseAddresses(list string) ([]netip.Addr, error) {
	var ips []netip.Addr
	for _, item := range splitList(list) {
		ip, err := netip.ParseAddr(item)
		if err != nil {
			return nil, err
		}
		ips = append(ips, ip)
	}
	return ips, nil
}

func createKeys(env IOStreams, directory, region string, ips []netip.Addr, instances []string) (ExitCode, error) {
	authority, err := openAuthority(directory)
	if err != nil {
		return ExitFailed, err
	}
	for _, id := range instances {
		instance := tlskeys.Identity{ID: contract.InstanceID(id), Region: region, Addresses: ips}
		if err := authority.Issue(directory, instance); err != nil {
			return ExitFailed, err
		}
		fmt.Fprintf(env.Stdout, "created certificate of instance=%s region=%s in %s\n", id, region, directory)
	}
	return ExitOK, nil
}

// openAuthority loads the certificate authority in directory, or creates one.
func openAuthority(directory string) (*tlskeys.Authority, error) {
	_, err := os.Stat(filepath.Join(directory, tlskeys.AuthorityKeyFile))
	if errors.Is(err, os.ErrNotExist) {
		return tlskeys.CreateAuthority(directory)
	}
	return tlskeys.LoadAuthority(directory)
}
