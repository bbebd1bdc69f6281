package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

// timedFault is a fault that is set on a stand-in at a time after the start of the load.
type timedFault struct {
	after   time.Duration
	process string
	url     string
	body    json.RawMessage
}

// parseFaults parses --fault flags, each of the form TIME,PROCESS,JSON.
func parseFaults(flags []string, p Plan) ([]timedFault, error) {
	var faults []timedFault
	for _, flag := range flags {
		parts := strings.SplitN(flag, ",", 3)
		if len(parts) != 3 || !json.Valid([]byte(parts[2])) {
			return nil, fmt.Errorf("fault %q: want TIME,PROCESS,JSON with valid JSON", flag)
		}
		after, err := time.ParseDuration(parts[0])
		if err != nil {
			return nil, fmt.Errorf("fault %q: %w", flag, err)
		}
		address, ok := p.Addresses[parts[1]]
		if !ok {
			return nil, fmt.Errorf("fault %q: unknown stand-in", flag)
		}
		faults = append(faults, timedFault{
			after: after, process: parts[1], url: "http://" + address + "/admin/faults", body: json.RawMessage(parts[2]),
		})
	}
	return faults, nil
}

// apply waits until the fault is due and sets it on the stand-in.
func (f timedFault) apply(ctx context.Context) {
	timer := time.NewTimer(f.after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		fmt.Fprintf(os.Stderr, "fault of %s not set: the load ended before %s\n", f.process, f.after)
		return
	case <-timer.C:
	}
	if err := SendJSON(http.MethodPost, f.url, "", f.body); err != nil {
		fmt.Fprintf(os.Stderr, "cannot set fault of %s: %v\n", f.process, err)
	}
}
