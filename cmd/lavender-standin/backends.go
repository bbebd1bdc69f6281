package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/ledger"
	"github.com/lavenderstand/lavenderstand/standin"
)

const (
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout bounds the wait for requests in flight after SIGTERM or SIGINT.
	shutdownTimeout = 10 * time.Second
)

// backendFlags are the flags that the commands of all backend servers share.
type backendFlags struct {
	name, model, zone, listen, ledgerFile string
	seed                                  uint64
}

func (f *backendFlags) add(c *cobra.Command) {
	c.Flags().StringVar(&f.name, "name", "", "name in the host list")
	c.Flags().StringVar(&f.model, "model", "", "name of the model or service")
	c.Flags().StringVar(&f.zone, "zone", "", "availability zone; has no effect and only shows in process lists")
	c.Flags().StringVar(&f.listen, "listen", "", "IP address and port")
	c.Flags().StringVar(&f.ledgerFile, "ledger", "", "file to append the ledger to")
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of all random choices")
	_ = c.MarkFlagRequired("name")
	_ = c.MarkFlagRequired("listen")
}

// backendCommands returns the commands of the backend servers (engine, plain service and
// scoring service) and of the load balancer in front of the entry hosts.
func backendCommands() []*cobra.Command {
	return []*cobra.Command{engineCommand(), serviceCommand(), scoringCommand(), balancerCommand()}
}

func engineCommand() *cobra.Command {
	var f backendFlags
	var o standin.EngineOptions
	var version int64
	var checksIdentity bool
	var tokenFile string
	c := &cobra.Command{Use: "engine", Short: "Run a model engine", RunE: func(*cobra.Command, []string) error {
		journal, err := standin.OpenJournal(f.ledgerFile)
		if err != nil {
			return err
		}
		if checksIdentity {
			if o.IssuerToken, err = issuerToken(tokenFile); err != nil {
				return err
			}
		}
		o.Name, o.Model, o.Seed, o.Version, o.Journal = f.name, f.model, f.seed, ledger.Version(version), journal
		e := standin.NewEngine(o)
		return serve(f.listen, e.Register, e.Run)
	}}
	f.add(c)
	flags := c.Flags()
	flags.Int64Var(&version, "version", 1, "weight version at the start, 0 for none")
	flags.IntVar(&o.Slots, "slots", 0, "number of completions that run at the same time")
	flags.Float64Var(&o.TokensPerSecond, "tokens-per-second", 0, "generation speed of one slot")
	flags.DurationVar(&o.LoadDuration, "load-time", 0, "duration of a weight load when no weight store is set")
	flags.StringVar(&o.WeightStoreURL, "weight-store", "", "base URL of the weight store")
	flags.Float64Var(&o.EventLossShare, "event-loss", 0, "share of cache events that are lost, 0 to 1")
	flags.BoolVar(&o.ChecksFence, "checks-fence", false, "refuse orders with an outdated fencing token")
	flags.BoolVar(&checksIdentity, "checks-identity", false, "refuse orders that do not carry the token")
	flags.StringVar(&tokenFile, "token-file", "", "file with the token that orders must carry")
	return c
}

// issuerToken returns the token in a file. A token is required.
func issuerToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", errors.New("the file given by --token-file is empty")
	}
	return token, nil
}

func serviceCommand() *cobra.Command {
	return newServiceCommand("service", "Run a plain service", func(o standin.ServiceOptions) func(*echo.Echo) {
		return standin.NewPlainService(o).Register
	})
}

func scoringCommand() *cobra.Command {
	return newServiceCommand("scoring", "Run a scoring service", func(o standin.ServiceOptions) func(*echo.Echo) {
		return standin.NewScoringService(o).Register
	})
}

// newServiceCommand returns the command of a service whose HTTP routes build returns.
func newServiceCommand(use, short string, build func(standin.ServiceOptions) func(*echo.Echo)) *cobra.Command {
	var f backendFlags
	var o standin.ServiceOptions
	c := &cobra.Command{Use: use, Short: short, RunE: func(*cobra.Command, []string) error {
		journal, err := standin.OpenJournal(f.ledgerFile)
		if err != nil {
			return err
		}
		o.Name, o.Model, o.Journal = f.name, f.model, journal
		return serve(f.listen, build(o), waitUntilDone)
	}}
	f.add(c)
	c.Flags().DurationVar(&o.WorkDuration, "work", 5*time.Millisecond, "processing time of one request")
	return c
}

func balancerCommand() *cobra.Command {
	var o standin.BalancerOptions
	var listen string
	c := &cobra.Command{Use: "balancer", Short: "Run the load balancer of the entry hosts", RunE: func(*cobra.Command, []string) error {
		b := standin.NewBalancer(o)
		return serve(listen, b.Register, b.Run)
	}}
	c.Flags().StringVar(&listen, "listen", "", "IP address and port")
	c.Flags().StringSliceVar(&o.Hosts, "hosts", nil, "HTTP addresses of the entry hosts")
	c.Flags().DurationVar(&o.Lag, "lag", 0, "time between two readiness checks")
	c.Flags().BoolVar(&o.Repeat, "repeat", false, "retry a request on another host after a connection error")
	_ = c.MarkFlagRequired("listen")
	_ = c.MarkFlagRequired("hosts")
	return c
}

// waitUntilDone is the background function of a server without background work.
func waitUntilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// serve runs an HTTP server and its background work until SIGTERM or SIGINT arrives.
func serve(listen string, register func(*echo.Echo), background func(context.Context) error) error {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	e := echo.New()
	e.HideBanner, e.HidePort = true, true
	register(e)
	server := &http.Server{Handler: e, ReadHeaderTimeout: readHeaderTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g run.Group
	g.Add(func() error { return server.Serve(listener) }, func(error) {
		shutdownCtx, stop := context.WithTimeout(context.Background(), shutdownTimeout)
		defer stop()
		_ = server.Shutdown(shutdownCtx)
	})
	g.Add(func() error { return background(ctx) }, func(error) { cancel() })
	g.Add(run.SignalHandler(ctx, syscall.SIGINT, syscall.SIGTERM))
	var signal run.SignalError
	if err := g.Run(); !errors.As(err, &signal) {
		return err
	}
	return nil
}
