package main

import (
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"
)

const (
	envServer    = "LAVENDERCTL_SERVER"
	envTokenFile = "LAVENDERCTL_TOKEN_FILE"
	// defaultTimeout bounds the wait for one server. It is longer than a server takes for a
	// change.
	defaultTimeout = 20 * time.Second
)

// options are the flags that every command shares.
type options struct {
	servers   []string
	tokenFile string
	output    string
	timeout   time.Duration
	out       io.Writer
}

const rootHelp = `Show and change a running deployment.

Commands call the operators' HTTP interface of an entry host. With several
--server flags, the next host is tried when one cannot be reached or answers
that it did not run the call.

Exit codes:
  0  done
  1  refused or failed; nothing was changed
  2  wrong arguments
  3  conflict: another change was accepted first; nothing was changed
  4  no server was reached, or the change may have taken effect: read the state
     before repeating it`

const rootExample = `  lavenderctl --server 10.20.1.11:8080 --token-file anna.token status
  lavenderctl class set live --latency-ms 500 --on-time-share 0.99
  lavenderctl config get -o json
  lavenderctl config set --file pamoja.config.toml --expected-version 7
  lavenderctl weights set matching --version 42 --expected-version 41
  lavenderctl check-settings entry.toml`

func newRoot(out io.Writer) *cobra.Command {
	o := &options{out: out}
	root := &cobra.Command{
		Use: "lavenderctl", Short: "Show and change a running deployment",
		Long: rootHelp, Example: rootExample, SilenceUsage: true, SilenceErrors: true,
	}
	root.SetOut(out)
	f := root.PersistentFlags()
	f.StringArrayVar(&o.servers, "server", envList(envServer), "IP:port of an entry host, repeatable ($"+envServer+")")
	f.StringVar(&o.tokenFile, "token-file", os.Getenv(envTokenFile), "file with the operator's token ($"+envTokenFile+")")
	f.StringVarP(&o.output, "output", "o", outputTable, "output format: table or json")
	f.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit for the answer of one server")
	root.PersistentPreRunE = func(*cobra.Command, []string) error { return checkOutput(o.output) }
	root.AddCommand(classCommand(o), configCommand(o), weightsCommand(o), checkSettingsCommand(o), hostViewCommand(o), explainCommand(o))
	root.AddCommand(viewCommands(o)...)
	return root
}

func envList(name string) []string {
	if v := os.Getenv(name); v != "" {
		return []string{v}
	}
	return nil
}
