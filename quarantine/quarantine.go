// Package quarantine spreads the contents of requests that crash backend servers among hosts.
// Hosts tell one another directly, which takes a few milliseconds; a row in the store lets
// hosts know that start later.
package quarantine

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lavenderstand/lavenderstand/lot"
	"github.com/lavenderstand/lavenderstand/rendezvous"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	rowPrefix = "quarantine/"
	// writeTimeout bounds one write of a row.
	writeTimeout = time.Second
	// reportTimeout bounds the report to one host.
	reportTimeout = 500 * time.Millisecond
	// countingHosts is the number of hosts that count the reports about a content that is not
	// in quarantine. More than one, so that the count survives the loss of a host.
	countingHosts = 2
	// maxConcurrentReports bounds the reports that are under way for one content.
	maxConcurrentReports = 32
)

// Report tells another host that a backend server ended while it had a request.
type Report struct {
	Content     string // fingerprint of the request
	Server      string // that ended
	Quarantined bool   // requests with the content are sent to no server any more
}

// Receiver is another host.
type Receiver interface {
	Report(ctx context.Context, r Report) error
}

// Reporter sends reports to the other hosts. It is safe for concurrent use.
type Reporter struct {
	Self string // name of this host
	Dial func(address string) Receiver
	// OnFailure is called for each host that a report did not reach.
	OnFailure func(host string, err error)

	peers atomic.Pointer[map[string]string] // addresses of the other hosts by name
}

// SetPeers replaces the addresses of the other hosts by name.
func (r *Reporter) SetPeers(addresses map[string]string) { r.peers.Store(&addresses) }

// Send sends a report to all hosts if the content is in quarantine, else to those that count
// the reports about it.
func (r *Reporter) Send(ctx context.Context, report Report) {
	peers := r.peers.Load()
	if peers == nil {
		return
	}
	hosts := rendezvous.Order(report.Content, r.Self, *peers)
	if !report.Quarantined {
		hosts = hosts[:min(countingHosts, len(hosts))]
	}
	slots := make(chan struct{}, maxConcurrentReports)
	var pending sync.WaitGroup
	for _, host := range hosts {
		if host == r.Self {
			continue
		}
		slots <- struct{}{}
		pending.Go(func() {
			defer func() { <-slots }()
			ctx, cancel := context.WithTimeout(ctx, reportTimeout)
			defer cancel()
			if err := r.Dial((*peers)[host]).Report(ctx, report); err != nil {
				r.OnFailure(host, err)
			}
		})
	}
	pending.Wait()
}

func key(content string) store.Key {
	return store.Key{Table: lot.TableCoordination, Name: rowPrefix + content}
}

// Content returns the content that a row describes, or "" if it is not a row of a quarantined
// content.
func Content(r store.Row) string {
	content, ok := strings.CutPrefix(r.Name, rowPrefix)
	if !ok {
		return ""
	}
	return content
}

// Write writes or removes the row of a content. version is the expected version of the row.
// If another host has written or removed the row meanwhile, the error has the reason conflict.
func Write(ctx context.Context, s store.Client, content string, version uint64, remove bool) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c := store.Commit{Conditions: []store.Condition{{Key: key(content), Version: version}}}
	if remove {
		c.Delete = []store.Key{key(content)}
	} else {
		c.Put = []store.Row{{Key: key(content), Value: []byte("{}")}}
	}
	_, err := s.Commit(ctx, c)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return verdict.Wrap(err, verdict.NotRun, verdict.ReasonConflict, "quarantine row of content %s", content)
	}
	return err
}
