package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const routeHost = "ficu95.example"

// lot is a batch submission of a trainer.
type lot struct {
	id       string
	items    []item
	reward   string // path of the reward calls
	model    string
	target   int
	body     int       // bytes of the body of each item, 0 for a short one
	accepted *host     // which answered 202
	sentAt   time.Time // when the attempt that was answered 202 was sent
	endedAt  time.Time // when the end was acknowledged
	results  map[int]result
}

type item struct{ id, group, scorer string }

type result struct {
	ID    string `json:"identifier"`
	State string `json:"state"`
	Text  string `json:"text"`
	Score string `json:"score"`
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func newLot(model string, groups, size int) *lot {
	l := &lot{id: newID(), model: model, target: groups * 9 / 10, reward: "/pufi791/", results: make(map[int]result)}
	for range groups {
		g := newID()
		for range size {
			l.items = append(l.items, item{id: newID(), group: g, scorer: newID()})
		}
	}
	return l
}

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (c *cluster) call(h *host, method, path, attempt string, header map[string]string, body []byte) (int, []byte, error) {
	r, err := http.NewRequest(method, "http://"+h.front+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	r.Host = routeHost
	if attempt != "" {
		r.Header.Set("Attempt-Id", attempt)
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

func (c *cluster) anyHost() *host { return c.hosts[rand.IntN(len(c.hosts))] }

// prompt returns the body of an item.
func prompt(id string, size int) []byte {
	text := []byte("prompt " + id)
	if size > len(text) {
		text = append(text, bytes.Repeat([]byte{'x'}, size-len(text))...)
	}
	return text
}

// submit hands in a lot, at another host after each failure.
func (c *cluster) submit(l *lot, step int) error {
	var items []map[string]any
	for _, i := range l.items {
		items = append(items, map[string]any{
			"identifier": i.id, "path": "/pule252/3/" + i.id, "body": prompt(i.id, l.body), "tokens": 300, "group": i.group,
			"headers": map[string]string{"Model": l.model, "Token-Counts": "271,40", "Prompt-Prefix": i.group + ":255," + i.id + ":16"},
			"scorer":  map[string]any{"identifier": i.scorer, "host": routeHost, "path": l.reward + i.scorer, "body": []byte("score " + i.id)},
		})
	}
	body := mustJSON(map[string]any{"step": step, "model": l.model, "minimumVersion": 1, "targetGroups": l.target, "items": items})
	end := time.Now().Add(20 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		h := c.hosts[n%len(c.hosts)]
		l.sentAt = time.Now()
		status, _, err := c.call(h, http.MethodPost, "/pule252/"+l.id, l.id, map[string]string{"Content-Type": "application/json"}, body)
		c.record.add("trainer: lot %s with %d items sent to %s: status %d, error %v", l.id, len(l.items), h.name, status, err)
		if status == http.StatusAccepted {
			l.accepted = h
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("lot %s was not accepted", l.id)
}

// read reads results from the next position, about twice a second, until all are read or the
// time is up.
func (c *cluster) read(l *lot, until time.Time) {
	for time.Now().Before(until) && len(l.results) < len(l.items) {
		after := len(l.results)
		h := c.anyHost()
		status, body, err := c.call(h, http.MethodGet, fmt.Sprintf("/v1/lots/%s?after=%d", l.id, after), "", map[string]string{"Wait-Milliseconds": "1000"}, nil)
		var page struct {
			Results []result `json:"results"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &page) == nil {
			for i, r := range page.Results {
				l.results[after+i] = r
				c.record.add("trainer: lot %s position %d is item %s, %s, text of %d bytes, score %s", l.id, after+i, r.ID, r.State, len(r.Text), r.Score)
			}
			if len(page.Results) > 0 {
				continue
			}
		} else {
			c.record.add("trainer: read of lot %s at %s: status %d, error %v", l.id, h.name, status, err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// end ends a lot, at another host after each failure.
func (c *cluster) end(l *lot) error {
	for n := range 20 {
		h := c.hosts[n%len(c.hosts)]
		status, _, err := c.call(h, http.MethodDelete, "/v1/lots/"+l.id, "", nil, nil)
		if status == http.StatusOK {
			l.endedAt = time.Now()
			c.record.add("trainer: end of lot %s acknowledged by %s", l.id, h.name)
			return nil
		}
		c.record.add("trainer: end of lot %s at %s: status %d, error %v", l.id, h.name, status, err)
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the end of lot %s was not acknowledged", l.id)
}
