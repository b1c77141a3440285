package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// requestFlags holds the flags shared by the commands that send a request.
type requestFlags struct {
	workspace string
	service   string
	key       string
	deadline  time.Duration
}

func addRequestFlags(flags *flag.FlagSet) *requestFlags {
	f := &requestFlags{}
	flags.StringVar(&f.workspace, "workspace", "", "workspace (required)")
	flags.StringVar(&f.service, "service", "", "service (required)")
	flags.StringVar(&f.key, "key", "", "idempotency key; the same key sends the same request again; default a new UUIDv7")
	flags.DurationVar(&f.deadline, "deadline", 0, "time for the request, such as 90s; default from the service")
	return f
}

func (f *requestFlags) request() (contract.RequestID, error) {
	if f.workspace == "" || f.service == "" {
		return contract.RequestID{}, usageError("-workspace and -service are required")
	}
	if f.deadline < 0 || (f.deadline > 0 && f.deadline < time.Millisecond) {
		return contract.RequestID{}, usageError("-deadline must be at least 1ms")
	}
	if f.key == "" {
		f.key = contract.NewKey()
	}
	if err := contract.CheckKey(f.key); err != nil {
		return contract.RequestID{}, usageError("-key: %v", err)
	}
	return contract.RequestID{Workspace: contract.WorkspaceID(f.workspace), Key: f.key}, nil
}

// argumentOrStdin returns the only argument, or standard input if it is "-".
func argumentOrStdin(env IOStreams, args []string, name string) (string, error) {
	if len(args) != 1 {
		return "", usageError("one argument is required: the %s, or - for standard input", name)
	}
	if args[0] != "-" {
		return args[0], nil
	}
	data, err := io.ReadAll(env.Stdin)
	return string(data), err
}

func generateCommand() command {
	return command{
		name:    "generate",
		usage:   "PROMPT|-",
		summary: "Runs a generation, prints its text as it arrives and checks that it is complete.",
		setup: func(flags *flag.FlagSet) runner {
			request := addRequestFlags(flags)
			maxTokens := flags.Int64("max-tokens", 0, "longest text, in tokens; default from the service")
			temperature := flags.Float64("temperature", 0, "sampling temperature, 0 to 2")
			seed := flags.Uint64("seed", 0, "sampling seed")
			return func(ctx context.Context, env IOStreams, c *client.Client, args []string) (ExitCode, error) {
				id, err := request.request()
				if err != nil {
					return ExitUsage, err
				}
				prompt, err := argumentOrStdin(env, args, "prompt")
				if err != nil {
					return ExitUsage, err
				}
				return generate(ctx, env, c, client.GenerationRequest{
					RequestID:   id,
					Service:     contract.ServiceID(request.service),
					Prompt:      prompt,
					MaxTokens:   *maxTokens,
					Temperature: *temperature,
					Seed:        *seed,
					Deadline:    request.deadline,
				})
			}
		},
	}
}

func generate(ctx context.Context, env IOStreams, c *client.Client, generation client.GenerationRequest) (ExitCode, error) {
	generation.OnToken = func(token contract.Token) {
		fmt.Fprint(env.Stdout, token.Text)
	}
	result, err := c.Generate(ctx, generation)
	fmt.Fprintln(env.Stdout)
	fmt.Fprintf(env.Stderr, "request=%s outcome=%s%s tokens=%d sha256=%s reconnects=%d first_token_ms=%d longest_gap_ms=%d\n",
		generation.RequestID, result.Verdict.Outcome, verdictDetail(result.Verdict, result.Message), len(result.Tokens), result.Checksum,
		result.Reconnects, result.TimeToFirstToken.Milliseconds(), result.LongestGap.Milliseconds())
	if err != nil {
		return ExitFailed, err
	}
	return exitForVerdict(result.Verdict), nil
}

// verdictDetail returns reason, Retry-After time and message as " key=value" pairs.
func verdictDetail(verdict contract.Verdict, message string) string {
	var b strings.Builder
	if verdict.Reason != "" {
		fmt.Fprintf(&b, " reason=%s", verdict.Reason)
	}
	if verdict.RetryAfter > 0 {
		fmt.Fprintf(&b, " retry_after_ms=%d", verdict.RetryAfter.Milliseconds())
	}
	if message != "" {
		fmt.Fprintf(&b, " message=%q", message)
	}
	return b.String()
}

func callCommand() command {
	return command{
		name:    "call",
		usage:   "BODY|-",
		summary: "Calls a plain service and prints its answer.",
		setup: func(flags *flag.FlagSet) runner {
			request := addRequestFlags(flags)
			method := flags.String("method", "POST", "GET, POST, PUT or DELETE")
			path := flags.String("path", "/", "path below the service's address")
			return func(ctx context.Context, env IOStreams, c *client.Client, args []string) (ExitCode, error) {
				id, err := request.request()
				if err != nil {
					return ExitUsage, err
				}
				body, err := argumentOrStdin(env, args, "body")
				if err != nil {
					return ExitUsage, err
				}
				call := oas.CallRequest{Method: oas.NewOptCallRequestMethod(oas.CallRequestMethod(*method)), Path: oas.NewOptString(*path)}
				call.Body.SetTo(body)
				if err := call.Validate(); err != nil {
					return ExitUsage, usageError("%v", err)
				}
				if request.deadline > 0 {
					call.DeadlineMs.SetTo(request.deadline.Milliseconds())
				}
				result, err := c.Call(ctx, id, contract.ServiceID(request.service), call)
				if err != nil {
					return ExitUnknown, errors.Wrapf(err, "the call may have run: retry with -key %s: last error", id.Key)
				}
				if result.Body != "" {
					fmt.Fprintln(env.Stdout, strings.TrimRight(result.Body, "\n"))
				}
				fmt.Fprintf(env.Stderr, "request=%s outcome=%s%s status=%d\n", id, result.Verdict.Outcome, verdictDetail(result.Verdict, result.Message), result.Status)
				if result.BodyOmitted {
					fmt.Fprintln(env.Stderr, "the response body is missing: it was too large to record or is not text")
				}
				return exitForVerdict(result.Verdict), nil
			}
		},
	}
}
