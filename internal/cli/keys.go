package cli

import (
	"context"
	"flag"

	"foxtailhub.example/foxtailhub/internal/client"
)

func keysCommand() command {
	return command{
		name:    "keys",
		summary: "Creates a development authority and certificates of instances.",
		setup: func(_ *flag.FlagSet) runner {
			return func(_ context.Context, _ Environment, _ *client.Client, _ []string) (ExitCode, error) {
				return ExitFailed, usageError("not available yet")
			}
		},
	}
}
