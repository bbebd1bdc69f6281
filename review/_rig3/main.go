package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE BINARY FOLDER")
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if os.Getenv("KEEP") == "" {
		onExit(func() { _ = os.RemoveAll(dir) })
	} else {
		fmt.Println("logs:", dir)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { <-signals; exit(2) }()
	time.AfterFunc(118*time.Second, func() { unable("the case took too long") })
	rec := newRecord(filepath.Join(os.Args[3], "record.txt"))
	c := newCluster(rec, dir, os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, disruption: %v", os.Args[1], trouble)
	broken := false
	switch os.Args[1] {
	case "readers":
		broken = readers(c, trouble)
	case "texts":
		broken = texts(c, trouble)
	case "grey":
		broken = grey(c, trouble)
	case "slashes":
		broken = slashes(c, trouble)
	case "answers-lost":
		broken = answersLost(c, trouble)
	case "adopt":
		broken = adopt(c, trouble)
	default:
		unable("unknown case %q", os.Args[1])
	}
	if broken {
		rec.log("RULE BROKEN")
		fmt.Println("rule broken")
		exit(1)
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	exit(0)
}

var client = &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a request to a host on a new channel and returns the answer; status 0 if there was
// none.
func call(h *host, method, path, id string, body []byte) (int, []byte) {
	r, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = routeHost
	if id != "" {
		r.Header.Set("Attempt-Id", id)
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func lotRoute() map[string]any {
	return map[string]any{
		"name": "lots", "host": routeHost, "prefix": "/lots/", "kind": "rollout", "service": "models", "timeoutMs": 10000, "targetLatencyMs": 500,
		"attempts": 3, "runAimMs": 7500, "maxAgeS": 100, "priority": 0, "sticky": true, "resumable": true,
	}
}

func lotServices() []map[string]any {
	models := []map[string]any{{"name": "m0"}, {"name": "m1"}, {"name": "m2"}}
	return []map[string]any{{"name": "models", "healthPath": "/health", "engine": map[string]any{"models": models}}, {"name": "app", "healthPath": "/health"}}
}

// submission returns the body of a batch submission.
func submission(id, model string, items, bodyBytes int) []byte {
	type item struct {
		ID      string            `json:"identifier"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    string            `json:"body"`
		Tokens  int               `json:"tokens"`
		Group   string            `json:"group"`
	}
	s := map[string]any{"step": 0, "model": model, "minimumVersion": 1, "targetGroups": (items + 7) / 8}
	var all []item
	for i := range items {
		body := bytes.Repeat([]byte{byte(i)}, bodyBytes)
		all = append(all, item{
			ID: fmt.Sprintf("%s-%d", id, i), Path: fmt.Sprintf("/lots/%s/%d", id, i), Body: base64.StdEncoding.EncodeToString(body), Tokens: 100,
			Headers: map[string]string{"Model": model, "Token-Counts": "60,40", "Prompt-Prefix": fmt.Sprintf("%x:60", i+1), "Length-Hint": "40"}, Group: fmt.Sprintf("g%s%d", id, i/8),
		})
	}
	s["items"] = all
	data, err := json.Marshal(s)
	if err != nil {
		unable("encode: %v", err)
	}
	return data
}

// page is the answer to a read of results.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"identifier"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// submit sends a batch submission until it is accepted.
func (c *cluster) submit(id, model string, items, bodyBytes int, to *host) {
	data := submission(id, model, items, bodyBytes)
	for n := 0; n < 20; n++ {
		status, _ := call(to, http.MethodPost, "/lots/"+id, id, data)
		c.rec.log("submission %s of %d items, %d bytes, to %s: %d", id, items, len(data), to.name, status)
		if status == http.StatusAccepted {
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
	unable("submission %s was not accepted", id)
}

// listed returns the number of results that a host lists, -1 if it gives no answer.
func listed(h *host, id string) int {
	n := 0
	for {
		status, data := call(h, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", id, n), "", nil)
		if status != http.StatusOK {
			return -1
		}
		var p page
		if json.Unmarshal(data, &p) != nil {
			return -1
		}
		if len(p.Results) == 0 {
			return n
		}
		n = p.Next
	}
}
