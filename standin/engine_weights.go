package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/lavenderstand/lavenderstand/engine"
	"github.com/lavenderstand/lavenderstand/ledger"
)

const (
	maxLoadedVersions = 3    // weight versions kept in memory
	failedLoadBytes   = 1024 // bytes read before an injected load fault takes effect
)

var errLoadFault = errors.New("weight load failed partway (injected fault)")

// applyOrder checks an order, stores it if it is valid and records it in the
// ledger. It returns the HTTP status code and the reason of a rejection.
func (e *Engine) applyOrder(t *engineTables, o engine.Order, token string) (int, string) {
	status, reason := e.checkOrder(t, o, token)
	obeyed := status == http.StatusAccepted
	if obeyed {
		t.order, t.fence = o, max(t.fence, o.Fence)
	}
	e.options.Journal.Add(JournalEntry{
		Kind: EntryOrder, OrderID: o.OrderID, Fence: o.Fence, Version: max(o.Active, o.Preload), Obeyed: obeyed, Reason: reason,
	})
	return status, reason
}

func (e *Engine) checkOrder(t *engineTables, o engine.Order, token string) (int, string) {
	switch {
	case e.options.IssuerToken != "" && token != "Bearer "+e.options.IssuerToken:
		return http.StatusForbidden, "forbidden"
	case e.options.ChecksFence && o.Fence < t.fence:
		return http.StatusConflict, "stale_fence"
	case o.Model != e.options.Model:
		return http.StatusBadRequest, "unknown_model"
	default:
		return http.StatusAccepted, ""
	}
}

// activateAndLoad activates and loads the weight versions of the newest order. A
// change of the active version also applies to running completions, between two
// of their chunks.
func activateAndLoad(e *Engine, _ time.Duration, t *engineTables) {
	if t.order.Active != 0 && slices.Contains(t.loaded, t.order.Active) {
		t.active = t.order.Active
	}
	next := t.missingVersion()
	if t.loading != 0 && t.loading != t.order.Preload && t.loading != t.order.Active {
		t.cancelLoad()
		return
	}
	if next == 0 || t.loading != 0 || t.failedOrderID == t.order.OrderID {
		return
	}
	t.loading = next
	ctx, cancel := context.WithCancel(t.ctx)
	t.cancelLoad = cancel
	fault := t.faults.takeLoadFailure()
	go e.load(ctx, next, t.order.OrderID, fault)
}

// missingVersion returns the next version of the order that has to be loaded, or
// 0. The version to activate comes before the one to preload.
func (t *engineTables) missingVersion() ledger.Version {
	for _, v := range []ledger.Version{t.order.Active, t.order.Preload} {
		if v != 0 && !slices.Contains(t.loaded, v) {
			return v
		}
	}
	return 0
}

// load fetches a weight version and reports the outcome to the owner of the
// tables.
func (e *Engine) load(ctx context.Context, v ledger.Version, orderID string, fault bool) {
	err := e.fetch(ctx, v, fault)
	canceled := ctx.Err() != nil
	e.do(context.WithoutCancel(ctx), func(t *engineTables) {
		t.cancelLoad()
		t.loading = 0
		if err != nil {
			if !canceled {
				t.loadFailures++
				t.failedOrderID = orderID
			}
			return
		}
		t.addLoaded(v)
	})
}

// addLoaded adds a loaded version and evicts the oldest versions that are
// neither active nor ordered, until at most maxLoadedVersions remain.
func (t *engineTables) addLoaded(v ledger.Version) {
	t.loaded = append(t.loaded, v)
	slices.Sort(t.loaded)
	for i := 0; len(t.loaded) > maxLoadedVersions && i < len(t.loaded); {
		if old := t.loaded[i]; old != t.active && old != t.order.Active && old != t.order.Preload {
			t.loaded = slices.Delete(t.loaded, i, i+1)
			continue
		}
		i++
	}
}

// fetch downloads a weight version from the weight store, or waits for
// LoadDuration if there is none.
func (e *Engine) fetch(ctx context.Context, v ledger.Version, fault bool) error {
	if e.options.WeightStoreURL == "" {
		return waitLoad(ctx, e.options.LoadDuration, fault)
	}
	url := fmt.Sprintf("%s/v1/weights?model=%s&version=%d", e.options.WeightStoreURL, e.options.Model, v)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("weight store returned status %d, expected 200", resp.StatusCode)
	}
	if fault {
		_, _ = io.CopyN(io.Discard, resp.Body, failedLoadBytes)
		return errLoadFault
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// waitLoad waits for the duration of a load. With a fault it fails after half of
// that time.
func waitLoad(ctx context.Context, d time.Duration, fault bool) error {
	if fault {
		d /= 2
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
	}
	if fault {
		return errLoadFault
	}
	return nil
}
