package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-faster/jx"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/configuration"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// currentVersion stands for the version in force.
const currentVersion = int64(-1)

func configGetCommand() command {
	return command{
		name:    "config get",
		timeout: operatorTimeout,
		summary: "Prints the configuration in force, or an accepted version.",
		setup: func(flags *flag.FlagSet) runner {
			version := flags.Int64("version", currentVersion, "accepted version; default the one in force")
			return func(ctx context.Context, env IOStreams, c *client.Client, _ []string) (ExitCode, error) {
				current, err := getConfiguration(ctx, c, *version)
				if err != nil {
					return ExitFailed, err
				}
				fmt.Fprintf(env.Stderr, "version=%d patch_id=%s\n", current.Version, current.PatchID.Or(""))
				return ExitOK, printDocument(env.Stdout, current.Document)
			}
		},
	}
}

func getConfiguration(ctx context.Context, c *client.Client, version int64) (*oas.Configuration, error) {
	if version == currentVersion {
		return c.NextEndpoint().GetConfiguration(ctx)
	}
	return c.NextEndpoint().GetConfigurationVersion(ctx, oas.GetConfigurationVersionParams{Version: version})
}

func printDocument(out io.Writer, document jx.Raw) error {
	var b bytes.Buffer
	if err := json.Indent(&b, document, "", "  "); err != nil {
		return err
	}
	b.WriteByte('\n')
	_, err := b.WriteTo(out)
	return err
}

func configPatchCommand() command {
	return command{
		name:    "config patch",
		timeout: operatorTimeout,
		usage:   "FILE|-",
		summary: "Submits a JSON Merge Patch, or with -whole a whole document, against a version.",
		setup: func(flags *flag.FlagSet) runner {
			base := flags.Int64("base", currentVersion, "version that the patch was written against (required, except with -whole)")
			id := flags.String("id", "", "identifier of the patch; the same identifier submits the same patch again; default a new UUIDv7")
			whole := flags.Bool("whole", false, "FILE is a whole document: the difference to the base version is submitted")
			dryRun := flags.Bool("dry-run", false, "check only")
			return func(ctx context.Context, env IOStreams, c *client.Client, args []string) (ExitCode, error) {
				patch, err := readFile(env, args)
				if err != nil {
					return ExitUsage, err
				}
				if *whole {
					*base, patch, err = mergePatchTo(ctx, c, *base, patch)
					if err != nil {
						return ExitFailed, err
					}
					if string(patch) == "{}" {
						fmt.Fprintf(env.Stdout, "nothing differs from version=%d\n", *base)
						return ExitOK, nil
					}
				}
				if *base == currentVersion {
					return ExitUsage, usageError("-base is required")
				}
				request := &oas.PatchRequest{PatchID: oas.Key(*id), BaseVersion: *base, Patch: patch}
				request.DryRun.SetTo(*dryRun)
				if *id == "" {
					request.PatchID = oas.Key(contract.NewKey())
				}
				return submitPatch(ctx, env, c, request)
			}
		},
	}
}

// readFile reads the JSON file named by the only argument; "-" is standard input.
func readFile(env IOStreams, args []string) ([]byte, error) {
	if len(args) != 1 {
		return nil, usageError("one argument is required: a file, or - for standard input")
	}
	var data []byte
	var err error
	if args[0] == "-" {
		data, err = io.ReadAll(env.Stdin)
	} else {
		data, err = os.ReadFile(args[0])
	}
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	if !json.Valid(data) {
		return nil, usageError("%s: not valid JSON", args[0])
	}
	return data, nil
}

// mergePatchTo returns the base version and the merge patch from it to document.
func mergePatchTo(ctx context.Context, c *client.Client, base int64, document []byte) (int64, []byte, error) {
	current, err := getConfiguration(ctx, c, base)
	if err != nil {
		return 0, nil, err
	}
	from, err := configuration.ParseDocument(current.Document)
	if err != nil {
		return 0, nil, err
	}
	to, err := configuration.ParseDocument(document)
	if err != nil {
		return 0, nil, errors.Mark(err, errUsage)
	}
	patch, err := configuration.Diff(from, to)
	return current.Version, patch, err
}

func submitPatch(ctx context.Context, env IOStreams, c *client.Client, request *oas.PatchRequest) (ExitCode, error) {
	result, err := c.NextEndpoint().SubmitPatch(ctx, request)
	var httpError *oas.ErrorStatusCodeWithHeaders
	if errors.As(err, &httpError) && httpError.Response.Outcome == oas.OutcomeNotRun {
		if isBadRequest(err) {
			return ExitUsage, err
		}
		return ExitNotRun, err
	}
	if err != nil {
		return ExitUnknown, errors.Wrapf(err, "patch %s may have been accepted: submit it again with -id %s: last error", request.PatchID, request.PatchID)
	}
	fmt.Fprintf(env.Stdout, "status=%s version=%d patch_id=%s\n", result.Status, result.Version, request.PatchID)
	if message := result.Message.Or(""); message != "" {
		fmt.Fprintln(env.Stderr, message)
	}
	switch result.Status {
	case oas.PatchResultStatusAccepted, oas.PatchResultStatusValid:
		return ExitOK, nil
	case oas.PatchResultStatusConflict:
		return ExitConflict, nil
	case oas.PatchResultStatusInvalid:
		return ExitUsage, nil
	case oas.PatchResultStatusUnknown:
		return ExitUnknown, nil
	default:
		return ExitNotRun, nil
	}
}

func configDiffCommand() command {
	return command{
		name:    "config diff",
		timeout: operatorTimeout,
		usage:   "FILE|-",
		summary: "Prints the merge patch that leads from a version to the document in FILE.",
		setup: func(flags *flag.FlagSet) runner {
			base := flags.Int64("base", currentVersion, "accepted version; default the one in force")
			return func(ctx context.Context, env IOStreams, c *client.Client, args []string) (ExitCode, error) {
				document, err := readFile(env, args)
				if err != nil {
					return ExitUsage, err
				}
				version, patch, err := mergePatchTo(ctx, c, *base, document)
				if err != nil {
					return ExitFailed, err
				}
				fmt.Fprintf(env.Stderr, "base=%d\n", version)
				return ExitOK, printDocument(env.Stdout, patch)
			}
		},
	}
}

func configHistoryCommand() command {
	return command{
		name:    "config history",
		timeout: operatorTimeout,
		summary: "Lists accepted versions, newest first.",
		setup: func(flags *flag.FlagSet) runner {
			limit := flags.Int("limit", 20, "number of versions")
			return func(ctx context.Context, env IOStreams, c *client.Client, _ []string) (ExitCode, error) {
				versions, err := c.NextEndpoint().ListConfigurationVersions(ctx, oas.ListConfigurationVersionsParams{Limit: oas.NewOptInt(*limit)})
				if err != nil {
					return ExitFailed, err
				}
				w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
				fmt.Fprintln(w, "VERSION\tACCEPTED\tPATCH")
				for _, v := range versions {
					fmt.Fprintf(w, "%d\t%s\t%s\n", v.Version, v.Accepted.UTC().Format(time.RFC3339), v.PatchID)
				}
				return ExitOK, w.Flush()
			}
		},
	}
}

// waitInterval is the polling interval of config wait.
const waitInterval = 200 * time.Millisecond

const statusTimeout = 2 * time.Second

func configWaitCommand() command {
	return command{
		name:    "config wait",
		usage:   "VERSION",
		summary: "Waits until a version is in force at every known instance and lists who lags.",
		setup: func(flags *flag.FlagSet) runner {
			timeout := flags.Duration("timeout", 10*time.Second, "how long to wait")
			return func(ctx context.Context, env IOStreams, c *client.Client, args []string) (ExitCode, error) {
				if len(args) != 1 {
					return ExitUsage, usageError("one argument is required: the version")
				}
				version, err := strconv.ParseInt(args[0], 10, 64)
				if err != nil || version < 0 {
					return ExitUsage, usageError("VERSION %q is not a version", args[0])
				}
				ctx, cancel := context.WithTimeout(ctx, *timeout)
				defer cancel()
				return waitForVersion(ctx, env, c, version)
			}
		},
	}
}

func waitForVersion(ctx context.Context, env IOStreams, c *client.Client, version int64) (ExitCode, error) {
	var lagging []string
	for {
		status, err := readStatus(ctx, c)
		if err == nil {
			lagging = laggingInstances(status, version)
			if len(lagging) == 0 {
				fmt.Fprintf(env.Stdout, "version=%d in_force=%d\n", version, len(status.Peers)+1)
				return ExitOK, nil
			}
		}
		if sleep(ctx, waitInterval) != nil {
			for _, line := range lagging {
				fmt.Fprintln(env.Stderr, line)
			}
			if err != nil && lagging == nil {
				return ExitFailed, errors.Wrap(err, "status cannot be read")
			}
			return ExitFailed, errors.Newf("version %d is not in force everywhere", version)
		}
	}
}

// readStatus gets the status of the next endpoint, whose instance may be paused.
func readStatus(ctx context.Context, c *client.Client) (*oas.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return c.NextEndpoint().GetStatus(ctx)
}

// laggingInstances returns a line for each instance with a version below version.
func laggingInstances(status *oas.Status, version int64) []string {
	var lines []string
	if status.Version < version {
		lines = append(lines, fmt.Sprintf("lagging instance=%s version=%d", status.Instance, status.Version))
	}
	for _, p := range status.Peers {
		if p.Version < version {
			lines = append(lines, fmt.Sprintf("lagging instance=%s version=%d state=%s silent_ms=%d", p.Instance, p.Version, p.State, p.SilentMs))
		}
	}
	return lines
}
