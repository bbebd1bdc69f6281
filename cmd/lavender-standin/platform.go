package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/standin"
)

const (
	platformHeaderTimeout   = 5 * time.Second
	platformShutdownTimeout = 5 * time.Second
)

type platformFlags struct {
	listen, tokenFile string
	seed              uint64
	rates             standin.PlatformRates
	weightRate        int
}

// platformCommands returns a command for each service of the platform (table service,
// object store, host list and weight store) and one for all of them together.
func platformCommands() []*cobra.Command {
	return []*cobra.Command{
		platformCommand("tables", "Serve the table service",
			func(p *standin.Platform) { *p = standin.Platform{Tables: p.Tables} }),
		platformCommand("objects", "Serve the object store",
			func(p *standin.Platform) { *p = standin.Platform{Objects: p.Objects} }),
		platformCommand("hosts", "Serve the host list",
			func(p *standin.Platform) { *p = standin.Platform{Hosts: p.Hosts} }),
		platformCommand("weights", "Serve the weight store",
			func(p *standin.Platform) { *p = standin.Platform{Weights: p.Weights} }),
		platformCommand("platform", "Serve all of the platform's services on one address",
			func(*standin.Platform) {}),
	}
}

// platformCommand returns a command that serves the services that restrict
// does not remove.
func platformCommand(use, short string, restrict func(*standin.Platform)) *cobra.Command {
	var f platformFlags
	c := &cobra.Command{
		Use: use, Short: short, Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			p := standin.NewPlatform(f.seed, f.rates)
			p.Weights.SetLimits(0, f.weightRate)
			restrict(p)
			return servePlatform(p, f)
		},
	}
	flags := c.Flags()
	flags.StringVar(&f.listen, "listen", "127.0.0.1:0", "loopback address and port to listen on")
	flags.StringVar(&f.tokenFile, "token-file", "", "file with the bearer token that requests must carry")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the random choices of the faults")
	flags.Float64Var(&f.rates.WritesPerSecond, "writes-per-second", standin.DefaultWritesPerSecond,
		"limit of rows written per second; 0 means no limit")
	flags.Float64Var(&f.rates.ReadsPerSecond, "reads-per-second", standin.DefaultReadsPerSecond,
		"limit of reads per second; 0 means no limit")
	flags.IntVar(&f.weightRate, "weight-bytes-per-second", standin.DefaultWeightBytesPerSecond,
		"bytes per second that the weight store sends to all clients together")
	return c
}

func servePlatform(p *standin.Platform, f platformFlags) error {
	token, err := readToken(f.tokenFile)
	if err != nil {
		return err
	}
	listener, err := listenLoopback(f.listen)
	if err != nil {
		return err
	}
	fmt.Fprintln(os.Stderr, "listening on", listener.Addr())
	server := &http.Server{Handler: p.Echo(token), ReadHeaderTimeout: platformHeaderTimeout}
	var g run.Group
	g.Add(func() error { return server.Serve(listener) }, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), platformShutdownTimeout)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	g.Add(run.SignalHandler(context.Background(), syscall.SIGINT, syscall.SIGTERM))
	var signal run.SignalError
	if err := g.Run(); !errors.As(err, &signal) {
		return err
	}
	return nil
}

// readToken returns the token in the file, or an empty token if path is empty.
func readToken(path string) (string, error) {
	if path == "" {
		return "", nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	token := strings.TrimSpace(string(raw))
	if token == "" {
		return "", fmt.Errorf("token file %s is empty", path)
	}
	return token, nil
}

// listenLoopback listens on a loopback address and refuses all others.
func listenLoopback(address string) (net.Listener, error) {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("%s: want a loopback IP address and a port", address)
	}
	return net.Listen("tcp", address)
}
