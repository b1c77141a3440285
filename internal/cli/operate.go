package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
)

func statusCommand() command {
	return command{
		name:    "status",
		timeout: operatorTimeout,
		summary: "Shows what an instance knows: itself, its peers, the upstreams, quarantined contents.",
		setup: func(flags *flag.FlagSet) runner {
			asJSON := flags.Bool("json", false, "print JSON")
			return func(ctx context.Context, env IOStreams, c *client.Client, _ []string) (ExitCode, error) {
				status, err := c.NextEndpoint().GetStatus(ctx)
				if err != nil {
					return ExitFailed, err
				}
				if *asJSON {
					return ExitOK, printJSON(env.Stdout, status)
				}
				return ExitOK, printStatus(env.Stdout, status)
			}
		},
	}
}

func printStatus(out io.Writer, s *oas.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "instance\t%s\nregion\t%s\nfailure domain\t%s\nstate\t%s\nconfirmed\t%t\nversion in force\t%d\nrequests in progress\t%d\n",
		s.Instance, s.Region, s.FailureDomain, s.State, s.Confirmed, s.Version, s.Active)
	fmt.Fprintln(w, "\nPEER\tFAILURE DOMAIN\tSTATE\tVERSION\tSILENT")
	for _, p := range s.Peers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", p.Instance, p.FailureDomain, p.State, p.Version, time.Duration(p.SilentMs)*time.Millisecond)
	}
	fmt.Fprintln(w, "\nUPSTREAM\tFAILURE DOMAIN\tSTATE\tRUNNING\tSLOTS")
	for _, u := range s.Upstreams {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", u.Upstream, u.FailureDomain, u.State, u.Running, u.Slots)
	}
	if len(s.Quarantined) > 0 {
		fmt.Fprintln(w, "\nCONTENT\tDEATHS\tQUARANTINED\tUNTIL")
	}
	for _, q := range s.Quarantined {
		fmt.Fprintf(w, "%s\t%d\t%t\t%s\n", q.Content, q.Deaths, q.Quarantined, untilText(q.Until))
	}
	return w.Flush()
}

func untilText(until oas.OptDateTime) string {
	if at, set := until.Get(); set {
		return at.UTC().Format(time.RFC3339)
	}
	return "-"
}

func timelineCommand() command {
	return command{
		name:    "timeline",
		timeout: operatorTimeout,
		usage:   "[FILE...]",
		summary: "Shows recent events of all instances in causal order, or with -logs those of gateways' logs.",
		setup: func(flags *flag.FlagSet) runner {
			request := flags.String("request", "", "only events of this request, as workspace/key")
			since := flags.Duration("since", time.Minute, "only events of this last period")
			local := flags.Bool("local", false, "only events of the instance that answers")
			asJSON := flags.Bool("json", false, "print JSON")
			logs := flags.Bool("logs", false, "read gateways' logs (files, or standard input); the same event at several instances is shown once")
			return func(ctx context.Context, env IOStreams, c *client.Client, args []string) (ExitCode, error) {
				switch {
				case !*logs && len(args) > 0:
					return ExitUsage, usageError("files are read only with -logs")
				case *logs && (*request != "" || *local || *asJSON):
					return ExitUsage, usageError("-logs goes with none of -request (see explain), -local and -json")
				case *logs:
					lines, err := readLogs(env.Stdin, args)
					if err != nil {
						return ExitFailed, err
					}
					return printLogTimeline(env.Stdout, lines)
				}
				params := oas.GetTimelineParams{SinceMs: oas.NewOptInt64(since.Milliseconds()), Local: oas.NewOptBool(*local)}
				if *request != "" {
					params.Request.SetTo(*request)
				}
				timeline, err := c.NextEndpoint().GetTimeline(ctx, params)
				if err != nil {
					return ExitFailed, err
				}
				if *asJSON {
					return ExitOK, printJSON(env.Stdout, timeline)
				}
				printTimeline(env, timeline)
				return ExitOK, nil
			}
		},
	}
}

func printTimeline(env IOStreams, timeline *oas.Timeline) {
	for _, e := range timeline.Events {
		fmt.Fprintf(env.Stdout, "%s.%04d instance=%s event=%s", time.UnixMilli(e.WallMs).UTC().Format("15:04:05.000"), e.Logical, e.Instance, e.Kind)
		if e.Key.Set {
			fmt.Fprintf(env.Stdout, " request=%s/%s", e.Workspace.Or(""), e.Key.Value)
		}
		if e.Attempt.Set {
			fmt.Fprintf(env.Stdout, " attempt=%d", e.Attempt.Value)
		}
		if e.Upstream.Set {
			fmt.Fprintf(env.Stdout, " upstream=%s", e.Upstream.Value)
		}
		if e.Detail.Set {
			fmt.Fprintf(env.Stdout, " %s", e.Detail.Value)
		}
		fmt.Fprintln(env.Stdout)
	}
	for _, instance := range timeline.Missing {
		fmt.Fprintf(env.Stderr, "no response from instance=%s\n", instance)
	}
}

func drainCommand() command {
	return command{
		name:    "drain",
		summary: "Starts the graceful shutdown of the instance that -endpoints names and shows what is in progress there.",
		setup: func(flags *flag.FlagSet) runner {
			wait := flags.Bool("wait", false, "wait until nothing is in progress or the instance has exited")
			return func(ctx context.Context, env IOStreams, c *client.Client, _ []string) (ExitCode, error) {
				if c.EndpointCount() != 1 {
					return ExitUsage, usageError("-endpoints must name one instance, the one to stop")
				}
				endpoint := c.NextEndpoint()
				exited := false
				status, err := endpoint.Drain(ctx)
				for err == nil {
					fmt.Fprintf(env.Stdout, "draining=%t generations=%d calls=%d\n", status.Draining, status.Generations, status.Calls)
					if !*wait || status.Generations+status.Calls == 0 {
						return ExitOK, nil
					}
					if err := sleep(ctx, time.Second); err != nil {
						return ExitFailed, err
					}
					status, err = endpoint.GetDrain(ctx)
					exited = errors.Is(err, syscall.ECONNREFUSED)
				}
				if exited {
					fmt.Fprintln(env.Stdout, "exited")
					return ExitOK, nil
				}
				return ExitFailed, err
			}
		},
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
