package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"github.com/lavenderstand/lavenderstand/identity"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/status"
)

const explainHelp = `ADDRESS is the address of the metrics of a lavender-host process: its IP address and
the last of its internal ports. The answer is the view of that host; nothing is sent to
a backend server and nothing is counted.`

// explainCommand returns the commands that ask a host what it would do and why.
func explainCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "explain", Short: "Explain what a lavender-host would do now with a request, a lot or an item, and why", Long: explainHelp}
	c.AddCommand(explainRequestCommand(o), explainLotCommand(o), &cobra.Command{
		Use: "item ADDRESS ITEM", Short: "Explain what an item waits for, in the newest lot of the host that has it", Long: explainHelp, Args: cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			return o.explain(args[0], status.ExplainQuery{Item: args[1]})
		},
	})
	return c
}

func explainLotCommand(o *options) *cobra.Command {
	var item string
	c := &cobra.Command{
		Use: "lot ADDRESS LOT", Short: "Explain what the items of a lot wait for", Args: cobra.ExactArgs(2),
		Long:    explainHelp + "\nOnly the owner of a lot knows its items; the answers of other hosts name it.",
		Example: "  lavenderctl explain lot 10.1.0.38:7395 lot-17 --item item-3",
		RunE: func(_ *cobra.Command, args []string) error {
			return o.explain(args[0], status.ExplainQuery{Lot: args[1], Item: item})
		},
	}
	c.Flags().StringVar(&item, "item", "", "only this item, waiting or not")
	return c
}

func explainRequestCommand(o *options) *cobra.Command {
	var q status.RequestQuery
	var headers []string
	var keyFile, bodyFile string
	c := &cobra.Command{
		Use: "request ADDRESS", Short: "Explain where a request would go", Args: cobra.ExactArgs(1), Long: explainHelp,
		Example: "  lavenderctl explain request 10.1.0.38:7395 --host shop.example --path /search?q=x --header 'Accept-Language: cy'",
		RunE: func(_ *cobra.Command, args []string) error {
			if err := readRequestFiles(&q, headers, keyFile, bodyFile); err != nil {
				return err
			}
			return o.explain(args[0], status.ExplainQuery{Request: &q})
		},
	}
	f := c.Flags()
	f.StringVar(&q.Method, "method", http.MethodGet, "method of the request")
	f.StringVar(&q.Host, "host", "", "host header of the request")
	f.StringVar(&q.Path, "path", "/", "path of the request, with query")
	f.StringArrayVar(&headers, "header", nil, "header field as 'Name: value', repeatable")
	f.StringVar(&keyFile, "key-file", "", "file with the caller's key, which is never printed")
	f.StringVar(&bodyFile, "body-file", "", "file with the body, which decides whether the request is in quarantine")
	_ = c.MarkFlagRequired("host") // fails only for an unknown flag
	return c
}

// readRequestFiles completes a question with the header, the key and the body.
func readRequestFiles(q *status.RequestQuery, headers []string, keyFile, bodyFile string) (err error) {
	q.Header = make(http.Header)
	for _, h := range headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return failf(exitUsage, "--header: want 'Name: value'") // the value could be a key
		}
		q.Header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	if keyFile != "" {
		key, err := identity.ReadSecret(keyFile)
		if err != nil {
			return failf(exitUsage, "--key-file: %w", err)
		}
		platform.AddKey(q.Header, key)
	}
	if bodyFile != "" {
		if q.Body, err = os.ReadFile(bodyFile); err != nil {
			return failf(exitUsage, "--body-file: %w", err)
		}
	}
	return nil
}

// explain asks a host and prints its answer.
func (o *options) explain(address string, q status.ExplainQuery) error {
	body, err := json.Marshal(q)
	if err != nil {
		return failf(exitError, "encode question: %w", err)
	}
	resp, err := newHostClient().Post("http://"+address+"/explain", "application/json", bytes.NewReader(body))
	if err != nil {
		return failf(exitUnknown, "%w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return failf(exitUnknown, "%s: %w", address, err)
	}
	if resp.StatusCode != http.StatusOK {
		detail := decodeErrorDetail(answer{status: resp.StatusCode, body: data})
		if detail.Reason == "" {
			return failf(exitError, "%s: status %d, want 200: is this the address of the metrics?", address, resp.StatusCode)
		}
		return failf(exitError, "%s: %s (%s)", address, detail.Message, detail.Reason)
	}
	var e status.Explanation
	if err := json.Unmarshal(data, &e); err != nil {
		return failf(exitError, "decode answer: %w", err)
	}
	if o.output == outputJSON {
		return outputError(json.NewEncoder(o.out).Encode(e))
	}
	return outputError(printExplanation(o.out, &e))
}

func printExplanation(w io.Writer, e *status.Explanation) error {
	p := &printer{w: w}
	p.line("view of host %s, boot ID %s: desired state %d, plan published %d ms ago", e.Host, e.BootID, e.DesiredVersion, e.PlanAgeMS)
	for _, table := range slices.Sorted(maps.Keys(e.FeedAgesMS)) {
		if age := e.FeedAgesMS[table]; age < 0 {
			p.line("feed %s: never read", table)
		} else {
			p.line("feed %s: known to be current %d ms ago", table, age)
		}
	}
	if e.Request != nil {
		printRequest(p, e.Request)
	}
	if e.Lot != nil {
		printLot(p, e.Lot)
	}
	return p.err
}

func printRequest(p *printer, r *status.RequestExplanation) {
	if r.Route != "" {
		p.line("route %s (%s), organisation %q, priority %d, service %q, time left %d ms", r.Route, r.Kind, r.Organisation, r.Priority, r.Service, r.RemainingMS)
	}
	for i, s := range r.Servers {
		position := fmt.Sprintf("%d.", i+1)
		if s.LeftOut != "" {
			position = "left out (" + s.LeftOut + "):"
		}
		if s.WaitMS > 0 {
			position = fmt.Sprintf("left out (%s, for %.1f ms):", s.LeftOut, s.WaitMS)
		}
		p.line("%s %s in %s: score %.2f ms, expected %.2f ms (response %.1f, permit %.1f), requests %d of %d slots, request limit %g/s, refused for %.1f ms, suspect %t, missing %t, software %q, weights %v",
			position, s.ID, s.Zone, s.ScoreMS, s.ExpectedMS, s.ResponseMS, s.PermitWaitMS, s.Requests, s.Slots, s.RequestLimit, s.RefusedUntilMS, s.Suspect, s.Missing, s.Software, s.Versions)
	}
	switch {
	case r.Refusal != nil:
		when := "at once"
		if r.Refusal.UntilDeadline {
			when = "at the deadline if nothing changes"
		}
		p.line("refused %s: status %d, %s (%s): %s", when, r.Refusal.Status, r.Refusal.Reason, r.Refusal.Verdict, r.Refusal.Message)
		if r.Refusal.Status == http.StatusServiceUnavailable {
			p.line("the caller is told to come back after about %d ms", r.Refusal.RetryAfterMS)
		}
	case r.WaitMS > 0:
		p.line("waits %.1f ms until a server is expected to have room", r.WaitMS)
	case len(r.Servers) == 0:
		p.line("accepted as the submission of a lot: its owner chooses the servers of its items")
	default:
		p.line("sent to %s", r.Servers[0].ID)
	}
}

func printLot(p *printer, l *status.LotExplanation) {
	p.line("lot %s of %s: owner %q, %s, listed %d of %d, waiting %d, running %d, scoring %d, ended %t", l.ID, l.Model, l.Owner, l.Stage, l.Listed, l.Total, l.Waiting, l.Running, l.Scoring, l.Ended)
	if l.DueMS != nil {
		p.line("due in %d ms", *l.DueMS)
	}
	if l.Blocked != "" {
		p.line("no item is started: %s", l.Blocked)
	}
	for _, i := range l.Items {
		p.line("item %s: %s, %s, server %q, run %d, events %d, waiting items ahead %d, spare %t, pause %d ms, expected duration %d ms", i.ID, i.Stage, i.Basis, i.Server, i.Run, i.Events, i.Ahead, i.Spare, i.NotBeforeMS, i.RemainingMS)
		for _, s := range i.Servers {
			reason := "possible"
			if s.LeftOut != "" {
				reason = "left out (" + s.LeftOut + ")"
			}
			p.line("  server %s in %s: %s, completion %.1f ms, room %d, running %d of %d slots, weights %d, software %q, refused for %.1f ms, suspect %t, missing %t",
				s.ID, s.Zone, reason, s.CompletionMS, s.Room, s.Running, s.Slots, s.Version, s.Software, s.RefusedForMS, s.Suspect, s.Missing)
		}
	}
	if n := l.Waiting - len(l.Items); n > 0 && len(l.Items) > 1 {
		p.line("%d more items wait", n)
	}
}
