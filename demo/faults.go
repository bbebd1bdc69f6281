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

// timedFault is a fault that a stand-in gets some time after the load began.
type timedFault struct {
	after   time.Duration
	process string
	url     string
	body    json.RawMessage
}

func parseFaults(flags []string, p Plan) ([]timedFault, error) {
	var faults []timedFault
	for _, flag := range flags {
		parts := strings.SplitN(flag, ",", 3)
		if len(parts) != 3 || !json.Valid([]byte(parts[2])) {
			return nil, fmt.Errorf("fault %q is not TIME,PROCESS,JSON", flag)
		}
		after, err := time.ParseDuration(parts[0])
		if err != nil {
			return nil, fmt.Errorf("fault %q: %w", flag, err)
		}
		address, ok := p.Addresses[parts[1]]
		if !ok {
			return nil, fmt.Errorf("fault %q: no stand-in has this name", flag)
		}
		faults = append(faults, timedFault{
			after: after, process: parts[1], url: "http://" + address + "/admin/faults", body: json.RawMessage(parts[2]),
		})
	}
	return faults, nil
}

// apply waits for the fault's time and sets it.
func (f timedFault) apply(ctx context.Context) {
	timer := time.NewTimer(f.after)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		fmt.Fprintf(os.Stderr, "fault of %s: the load ended before %s\n", f.process, f.after)
		return
	case <-timer.C:
	}
	if err := SendJSON(http.MethodPost, f.url, "", f.body); err != nil {
		fmt.Fprintf(os.Stderr, "fault of %s: %v\n", f.process, err)
	}
}
