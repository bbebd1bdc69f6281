package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lavenderstand/lavenderstand/ledger"
)

// CallerOptions configure a Caller.
type CallerOptions struct {
	Name           string
	Hosts          []string // addresses of the balancer or of entry hosts
	Token          string
	Models         []string
	Class          string        // class of completions
	LookupRoute    string        // idempotent route
	ClaimRoute     string        // route whose requests must run at most once
	MaxTokens      int           // of one completion
	Pause          time.Duration // between two requests
	RequestTimeout time.Duration // of one request, including all attempts
	Seed           uint64
}

// maxDuplicateAnswers is the number of attempts after which a caller gives up a
// request that is answered as a duplicate (409). The first copy may still be
// running, so a few repetitions are useful, but not an unlimited number.
const maxDuplicateAnswers = 5

// Caller is a fake client that sends completions, lookups and claims one at a
// time.
type Caller struct {
	options CallerOptions
	client  *entryClient
	random  *rand.Rand
	sent    int
}

// NewCaller returns a caller.
func NewCaller(o CallerOptions) *Caller {
	setDefault(&o.MaxTokens, 128)
	setDefault(&o.Pause, 20*time.Millisecond)
	setDefault(&o.RequestTimeout, 15*time.Second)
	return &Caller{options: o, random: newRandom(o.Seed), client: newEntryClient(o.Hosts, o.Token, int(o.Seed%1024))}
}

// Run sends requests until ctx ends. It completes the request in progress and
// returns the outcomes of all requests.
func (c *Caller) Run(ctx context.Context) []Answer {
	var answers []Answer
	for ctx.Err() == nil {
		answers = append(answers, c.sendNext(context.WithoutCancel(ctx)))
		pause(ctx, c.options.Pause)
	}
	return answers
}

// sendNext sends a request of a random kind: 40 % completions, 40 % lookups and
// 20 % claims.
func (c *Caller) sendNext(ctx context.Context) Answer {
	c.sent++
	id := c.options.Name + "-" + strconv.Itoa(c.sent) + "-" + strconv.FormatUint(c.options.Seed, 10)
	switch choice := c.random.IntN(10); {
	case choice < 4:
		return c.requestCompletion(ctx, id, choice%2 == 0)
	case choice < 8:
		return c.callService(ctx, Answer{Kind: KindLookup, RequestID: id, Method: http.MethodGet, Path: "/items/" + id}, c.options.LookupRoute)
	default:
		return c.callService(ctx, Answer{
			Kind: KindClaim, RequestID: id, Key: "claim-" + id, Method: http.MethodPost, Path: "/claims", Body: "bundle " + id,
		}, c.options.ClaimRoute)
	}
}

func (c *Caller) callService(ctx context.Context, a Answer, route string) Answer {
	header := map[string]string{"X-Request-Id": a.RequestID}
	if a.Key != "" {
		header["Idempotency-Key"] = a.Key
	}
	last := c.sendUntilFinal(ctx, &a, entryRequest{
		method: a.Method, path: "/services/" + route + a.Path, header: header, body: []byte(a.Body),
	})
	a.Text = string(last.body)
	return a
}

// sendUntilFinal repeats a request with the same IDs until its outcome is final
// and records the outcome in a.
func (c *Caller) sendUntilFinal(ctx context.Context, a *Answer, r entryRequest) entryAnswer {
	ctx, cancel := context.WithTimeout(ctx, c.options.RequestTimeout)
	defer cancel()
	began := time.Now()
	a.AllNotRun = true
	var last entryAnswer
	for {
		answer := c.client.send(ctx, r)
		a.Attempts++
		if answer.err == nil || ctx.Err() == nil || a.Attempts == 1 {
			last = answer // skips an attempt that failed only because the deadline passed
		}
		a.AllNotRun = a.AllNotRun && answer.verdict == "not_run"
		if answer.final() && !c.brokenStream(answer) {
			break
		}
		if answer.status == http.StatusConflict && a.Attempts >= maxDuplicateAnswers {
			break
		}
		if pause(ctx, retryInterval); ctx.Err() != nil {
			break
		}
	}
	a.Status, a.Reason = last.status, last.reason
	a.Truncated = last.status/100 == 2 && (last.err != nil || c.brokenStream(last))
	a.LatencyMS = time.Since(began).Milliseconds()
	return last
}

// brokenStream reports whether an answer is a stream that ended early.
func (c *Caller) brokenStream(a entryAnswer) bool {
	if !a.stream || a.status != http.StatusOK {
		return false
	}
	_, err := a.events()
	return err != nil
}

// completionAnswer is an OpenAI-style completion response with the additional
// object lavender.
type completionAnswer struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Lavender *struct {
		RequestID string         `json:"request_id"`
		Ranges    []ledger.Range `json:"ranges"`
	} `json:"lavender"`
}

func (c *Caller) requestCompletion(ctx context.Context, id string, stream bool) Answer {
	model := c.options.Models[c.random.IntN(len(c.options.Models))]
	// All prompts start with the same text, as those of real applications do,
	// so that the prefix caches of the engines have an effect.
	prompt := strings.Repeat("shared instructions ", 16) + id
	a := Answer{Kind: KindCompletion, RequestID: id, Prompt: prompt, MaxTokens: c.options.MaxTokens}
	body, _ := json.Marshal(map[string]any{
		"model": model, "prompt": prompt, "max_tokens": a.MaxTokens, "stream": stream,
	})
	last := c.sendUntilFinal(ctx, &a, entryRequest{
		method: http.MethodPost, path: "/v1/completions", body: body, header: map[string]string{
			"X-Request-Id": id, "X-Class": c.options.Class, "X-Deadline-Ms": fmt.Sprint(c.options.RequestTimeout.Milliseconds()),
		},
	})
	parts := [][]byte{last.body}
	if last.stream {
		parts, _ = last.events()
	}
	for _, part := range parts {
		var answer completionAnswer
		if json.Unmarshal(part, &answer) != nil {
			continue
		}
		for _, choice := range answer.Choices {
			a.Text += choice.Text
		}
		if answer.Lavender != nil && len(answer.Lavender.Ranges) > 0 {
			a.Ranges = answer.Lavender.Ranges
		}
	}
	return a
}
