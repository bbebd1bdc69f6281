package main

import (
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/platform"
	"github.com/lavenderstand/lavenderstand/settings"
)

// settingsPollInterval is the interval between two checks of the settings file, which may
// change without a signal. A check costs one system call.
const settingsPollInterval = 5 * time.Second

// addSignals adds the handling of signals, which ends the process after a graceful shutdown,
// and the check for changed settings.
func (h *host) addSignals(g *run.Group, path string) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	quit := make(chan struct{})
	g.Add(func() error {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		last := statFile(path)
		for {
			select {
			case <-quit:
				return nil
			case <-ticker.C:
				if state := statFile(path); state != last {
					last = state
					h.reload(path)
				}
			case s := <-signals:
				if s != syscall.SIGHUP {
					return h.stop()
				}
				last = statFile(path)
				h.reload(path)
			}
		}
	}, func(error) { close(quit) })
}

// fileState identifies a state of a file: it differs after the file was written.
type fileState struct {
	modTime time.Time
	size    int64
}

// statFile returns the state of a file, or the zero value if it cannot be
// examined. A file that was missing for a while therefore counts as changed.
func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{info.ModTime(), info.Size()}
}

// reload reads the settings file again. New times, rates and the address of the store take
// effect at once. The addresses on which the process listens do not change while it runs.
func (h *host) reload(path string) {
	d, err := platform.ReadSettings(path)
	if err != nil {
		h.log.Warn("cannot read changed settings; keeping the previous ones", zap.Error(err))
		return
	}
	old := h.currentSettings()
	h.reloaded.Store(&d)
	h.directStore.SetAddress(d.Store)
	h.log.Info("settings read again", zap.String("changed", strings.Join(old.Changes(d), ",")))
	if err := h.inbox.Deliver(h.ctx, event.SettingsRead{
		OrderHandoverDelay: d.Bounds.OrderHandoverDelay, StoreReadsPerSecond: d.StoreReads, ResultRetention: d.Bounds.ResultRetention, BackendDrainPeriod: d.Bounds.BackendDrainPeriod,
		Duties: d.Duties, UsageWindow: d.Bounds.UsageWindow, UsageDue: d.Bounds.UsageDue,
	}); err != nil {
		h.log.Info("changed settings were not delivered to the control loop", zap.Error(err))
	}
}

// currentSettings returns the settings that were read last.
func (h *host) currentSettings() settings.Deployment {
	if d := h.reloaded.Load(); d != nil {
		return *d
	}
	return h.settings
}
