package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	versionsTextEvents = 48 // about 1.2 s a stream
	versionsDuration   = 14 * time.Second
	streamCallers      = 16
	// maxResumptions is the number of times that a caller resumes a stream that broke off, and
	// resumePause the time between two of them.
	maxResumptions = 8
	resumePause    = 150 * time.Millisecond
	// maxCallerPause bounds the time between two streams of a caller.
	maxCallerPause = 400 * time.Millisecond
	// minResumed is the number of resumed streams from which their share counts.
	minResumed = 12
)

// streamCaller reads streams one after the other and resumes those that break off.
type streamCaller struct {
	cluster *cluster
	name    string

	begun, joined          int
	resumed, resumedServed int // streams resumed while two servers of their version serve
}

// run reads streams until end.
func (s *streamCaller) run(t *testing.T, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(rand.N(maxCallerPause)) // callers do not begin in step
		id := fmt.Sprintf("%s-stream-%d", s.name, n)
		events, whole := s.read(n, id, "", 0)
		if len(events) == 0 {
			time.Sleep(resumePause)
			continue
		}
		s.begun++
		counted, wentOn := false, false
		for try := 1; try <= maxResumptions && !whole; try++ {
			time.Sleep(resumePause)
			counted = counted || s.cluster.serving(softwareOf(events[0])) >= 2
			var more []string
			more, whole = s.read(n+try, fmt.Sprintf("%s-%d", id, try), id, len(events))
			wentOn = wentOn || len(more) > 0 || whole
			events = append(events, more...)
		}
		if counted {
			s.resumed++
		}
		if counted && wentOn {
			s.resumedServed++
		}
		if versions := softwareVersions(events); len(versions) > 1 {
			s.joined++
			t.Logf("stream %s has events of %v", id, versions)
		}
		if text := strings.Join(events, "\n"); whole && len(softwareVersions(events)) == 1 && !s.cluster.wholeText(id, text) {
			t.Errorf("stream %s ended as complete with the text %q", id, text)
		}
	}
}

// read opens a stream at a host and returns the data of its events, and whether the stream
// came to its end. If after is not 0, it resumes the stream that the attempt begun began.
func (s *streamCaller) read(index int, id, begun string, after int) (events []string, whole bool) {
	r, err := http.NewRequest(http.MethodPost, "http://"+s.cluster.hosts[index%hosts].frontAddress+"/streams/x", strings.NewReader("x"))
	if err != nil {
		panic(err)
	}
	r.Host, r.GetBody = "h", nil
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Model", "m")
	r.Header.Set("Deadline-Milliseconds", "3000")
	if after > 0 {
		r.Header.Set("Resumes", begun)
		r.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	resp, err := client.Do(r)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, false
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			events = append(events, data)
		}
	}
	return events, lines.Err() == nil
}

// softwareOf returns the software version of the server that sent an event.
func softwareOf(event string) string {
	_, software, _ := strings.Cut(event, "@")
	return software
}

// softwareVersions returns the software versions of the servers that sent events.
func softwareVersions(events []string) []string {
	var versions []string
	for _, e := range events {
		if v := softwareOf(e); !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	return versions
}

// serving returns the number of samplers of a software version that do not leave.
func (c *cluster) serving(software string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id, v := range c.software {
		if v == software && strings.HasPrefix(id, "sampler-") && !c.draining[id] && !c.unregistered[id] {
			n++
		}
	}
	return n
}

// replaceRandomSampler replaces a sampler by one of the next software version.
func (c *cluster) replaceRandomSampler(random *rand.Rand) {
	c.mu.Lock()
	var ids []string
	for id := range c.software {
		if strings.HasPrefix(id, "sampler-") && !c.draining[id] && !c.unregistered[id] {
			ids = append(ids, id)
		}
	}
	n := len(c.software)
	c.mu.Unlock()
	if len(ids) < 2 {
		return
	}
	slices.Sort(ids)
	c.replaceServer(ids[random.IntN(len(ids))], fmt.Sprintf("sampler-%d", n), fmt.Sprintf("v%d", 2+n%2))
}

// TestStreamsJoinedFromTwoSoftwareVersions guards against texts of items and live streams that
// are continued at a server of another software version than the one that began them, also
// after all hosts have lost what they knew, and against hosts that refuse to continue them.
func TestStreamsJoinedFromTwoSoftwareVersions(t *testing.T) {
	c := newClusterOf(t, 1, versionsTextEvents, "")
	for _, h := range c.hosts {
		require.Eventually(t, func() bool { return c.ready(h) }, 10*time.Second, 50*time.Millisecond, h.name)
	}
	end := time.Now().Add(versionsDuration)
	var work sync.WaitGroup
	trainers := []*trainer{{cluster: c, name: "t1"}, {cluster: c, name: "t2"}, {cluster: c, name: "t3"}}
	for i, tr := range trainers {
		time.Sleep(time.Duration(i) * versionsTextEvents * eventGap / time.Duration(len(trainers))) // not in step
		work.Go(func() { tr.train(end, 7) })
	}
	var callers []*streamCaller
	for i := range streamCallers {
		s := &streamCaller{cluster: c, name: fmt.Sprintf("s%d", i)}
		callers = append(callers, s)
		work.Go(func() { s.run(t, end) })
	}
	killAll := func() {
		for _, h := range c.hosts {
			c.restart(h, syscall.SIGKILL)
		}
	}
	time.Sleep(2 * time.Second)
	c.replaceServer("sampler-0", "sampler-10", "v2")
	c.replaceServer("sampler-1", "sampler-11", "v2")
	time.Sleep(2 * time.Second)
	killAll() // two servers of each version serve
	time.Sleep(3 * time.Second)
	c.replaceServer("sampler-2", "sampler-12", "v2")
	c.replaceServer("sampler-3", "sampler-13", "v2")
	time.Sleep(leaveTime)
	killAll() // no server of the first version is left
	work.Wait()
	listed := 0
	for _, tr := range trainers {
		listed += tr.verify(t, time.Now().Add(settleTimeout))
	}
	var sum streamCaller
	for _, s := range callers {
		sum.begun += s.begun
		sum.joined += s.joined
		sum.resumed += s.resumed
		sum.resumedServed += s.resumedServed
	}
	t.Logf("%d results, %d streams, %d joined; %d of %d resumed streams went on", listed, sum.begun, sum.joined, sum.resumedServed, sum.resumed)
	require.Zero(t, sum.joined, "streams joined from two software versions")
	require.GreaterOrEqual(t, sum.resumed, minResumed)
	require.GreaterOrEqual(t, 2*sum.resumedServed, sum.resumed, "half of the resumed streams whose version has two servers")
	if t.Failed() {
		c.printLogs()
	}
}
