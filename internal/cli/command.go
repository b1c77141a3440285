// Package cli implements the command-line tool of operators and callers.
//
// The package must change state only in commands that are meant to do so, and
// must never print a stack trace for an invalid argument.
package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/api/oas"
	"foxtailhub.example/foxtailhub/internal/client"
	"foxtailhub.example/foxtailhub/internal/contract"
)

// ExitCode is the exit code of the tool.
type ExitCode int

// Exit codes.
const (
	ExitOK       ExitCode = 0 // done; the result is complete
	ExitFailed   ExitCode = 1 // the operation failed, or the result is incomplete
	ExitUsage    ExitCode = 2 // invalid arguments, settings or input
	ExitNotRun   ExitCode = 3 // the request was not run; retry after the printed time
	ExitUnknown  ExitCode = 4 // the request may have run
	ExitConflict ExitCode = 5 // the base version is no longer the current configuration
)

// endpointsVariable is the environment variable with the default of -endpoints.
const endpointsVariable = "FOXTAILHUB_ENDPOINTS"

const defaultEndpoint = "http://127.0.0.1:8080"

// IOStreams holds the standard streams of a command.
type IOStreams struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// command is one subcommand.
type command struct {
	name    string
	usage   string // arguments after the flags
	summary string
	timeout time.Duration                    // of the whole command; 0: none, or set by the command itself
	setup   func(flags *flag.FlagSet) runner // defines the flags
}

// operatorTimeout bounds commands with one request to an instance, which may be paused.
const operatorTimeout = 30 * time.Second

// runner executes a command with the arguments after the flags.
type runner func(ctx context.Context, env IOStreams, c *client.Client, args []string) (ExitCode, error)

// errUsage marks errors in the arguments.
var errUsage = errors.New("invalid usage")

func usageError(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), errUsage)
}

func commands() []command {
	return []command{
		generateCommand(),
		callCommand(),
		configGetCommand(),
		configPatchCommand(),
		configDiffCommand(),
		configHistoryCommand(),
		configWaitCommand(),
		statusCommand(),
		timelineCommand(),
		explainCommand(),
		drainCommand(),
		keysCommand(),
	}
}

// Run runs the tool with the arguments after the program's name.
func Run(ctx context.Context, env IOStreams, args []string) ExitCode {
	selected, rest := selectCommand(args)
	if selected == nil {
		return printUsage(env, args)
	}
	code, err := selected.execute(ctx, env, rest)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return ExitOK
	case errors.Is(err, errUsage):
		fmt.Fprintf(env.Stderr, "foxtailhub %s: %s (-h shows the usage)\n", selected.name, oneLine(err))
		return ExitUsage
	case err != nil:
		fmt.Fprintf(env.Stderr, "foxtailhub %s: %v\n", selected.name, oneLine(err))
		if code == ExitOK {
			code = ExitFailed
		}
		if code == ExitFailed && isBadRequest(err) {
			code = ExitUsage
		}
	}
	return code
}

// selectCommand returns the command with the longest matching name and its arguments.
func selectCommand(args []string) (*command, []string) {
	for words := min(2, len(args)); words > 0; words-- {
		name := strings.Join(args[:words], " ")
		all := commands()
		if i := slices.IndexFunc(all, func(c command) bool { return c.name == name }); i >= 0 {
			return &all[i], args[words:]
		}
	}
	return nil, nil
}

func printUsage(env IOStreams, args []string) ExitCode {
	help := len(args) == 0 || slices.Contains([]string{"-h", "-help", "--help", "help"}, args[0])
	out := env.Stderr
	if help {
		out = env.Stdout
	} else {
		fmt.Fprintf(out, "foxtailhub: unknown command %q\n", strings.Join(args, " "))
	}
	fmt.Fprintln(out, "usage: foxtailhub <command> [flags] [arguments]; -h on a command lists its flags")
	for _, c := range commands() {
		fmt.Fprintf(out, "  %-15s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(out, "exit codes: 0 done, 1 failed or incomplete, 2 wrong usage, 3 not run, 4 may have run, 5 conflict")
	if help {
		return ExitOK
	}
	return ExitUsage
}

func (c *command) execute(ctx context.Context, env IOStreams, args []string) (ExitCode, error) {
	flags := flag.NewFlagSet("foxtailhub "+c.name, flag.ContinueOnError)
	flags.SetOutput(io.Discard) // Run prints errors as one line
	endpoints := flags.String("endpoints", defaultEndpoints(),
		"comma-separated base `URLs` of instances or balancers; "+endpointsVariable+" changes the default")
	run := c.setup(flags)
	if err := flags.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			c.printHelp(env.Stdout, flags)
			return ExitOK, flag.ErrHelp
		}
		return ExitUsage, errors.Mark(err, errUsage)
	}
	if c.usage == "" && flags.NArg() > 0 {
		return ExitUsage, usageError("unexpected argument %q", flags.Arg(0))
	}
	apiClient, err := client.New(splitList(*endpoints))
	if err != nil {
		return ExitUsage, usageError("-endpoints: %v", err)
	}
	if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	return run(ctx, env, apiClient, flags.Args())
}

func (c *command) printHelp(out io.Writer, flags *flag.FlagSet) {
	fmt.Fprintln(out, strings.TrimSpace(fmt.Sprintf("usage: foxtailhub %s [flags] %s", c.name, c.usage)))
	fmt.Fprintln(out, c.summary)
	flags.SetOutput(out)
	flags.PrintDefaults()
}

func defaultEndpoints() string {
	if value := os.Getenv(endpointsVariable); value != "" {
		return value
	}
	return defaultEndpoint
}

func splitList(list string) []string {
	var items []string
	for item := range strings.SplitSeq(list, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

// decodePrefix is added to the error of an instance by the generated client.
const decodePrefix = "decode response: error: "

// oneLine returns the message of an error as one line. An HTTP error is replaced
// by the message from the instance.
func oneLine(err error) string {
	text := err.Error()
	var httpError *oas.ErrorStatusCodeWithHeaders
	if errors.As(err, &httpError) {
		text = strings.Replace(text, decodePrefix, "", 1)
		text = strings.Replace(text, httpError.Error(), httpError.Response.Message, 1)
	}
	return strings.ReplaceAll(text, "\n", " ")
}

// isBadRequest reports whether an instance refused the input as malformed.
func isBadRequest(err error) bool {
	var httpError *oas.ErrorStatusCodeWithHeaders
	return errors.As(err, &httpError) && httpError.Response.Reason == string(contract.ReasonBadRequest)
}

// exitForVerdict maps the verdict of a request to an exit code.
func exitForVerdict(verdict contract.Verdict) ExitCode {
	if verdict.Reason == contract.ReasonBadRequest {
		return ExitUsage
	}
	return exitForOutcome(verdict.Outcome)
}

// exitForOutcome maps the outcome of a request to an exit code.
func exitForOutcome(outcome contract.Outcome) ExitCode {
	switch outcome {
	case contract.Completed:
		return ExitOK
	case contract.NotRun:
		return ExitNotRun
	case contract.Unknown:
		return ExitUnknown
	default:
		return ExitFailed
	}
}
