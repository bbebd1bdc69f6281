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

// settingsPollInterval is the period at which the settings file is looked at, because it may
// change without a signal. A look costs one system call.
const settingsPollInterval = 5 * time.Second

// addSignals ends the process after a planned stop and reads changed settings.
func (h *host) addSignals(g *run.Group, path string) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	quit := make(chan struct{})
	g.Add(func() error {
		look := time.NewTicker(settingsPollInterval)
		defer look.Stop()
		seen := statFile(path)
		for {
			select {
			case <-quit:
				return nil
			case <-look.C:
				if at := statFile(path); at != seen {
					seen = at
					h.reload(path)
				}
			case s := <-signals:
				if s != syscall.SIGHUP {
					return h.stop()
				}
				seen = statFile(path)
				h.reload(path)
			}
		}
	}, func(error) { close(quit) })
}

// fileState tells whether a file was written since it was looked at last.
type fileState struct {
	modTime time.Time
	size    int64
}

func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{} // it is read when it is back
	}
	return fileState{info.ModTime(), info.Size()}
}

// reload reads the settings file again. Times, rates and the address of the store change
// at once; own addresses stay as they are for the lifetime of the process.
func (h *host) reload(path string) {
	d, err := platform.ReadSettings(path)
	if err != nil {
		h.log.Warn("changed settings not used", zap.Error(err))
		return
	}
	old := h.currentSettings()
	h.reloaded.Store(&d)
	h.directStore.SetAddress(d.Store)
	h.log.Info("settings read again", zap.String("changed", strings.Join(old.Changes(d), ",")))
	if err := h.inbox.Deliver(h.ctx, event.SettingsRead{LeaseTTL: d.Bounds.LeaseTTL, StoreReadsPerSecond: d.StoreReads, ResultRetention: d.Bounds.ResultRetention}); err != nil {
		h.log.Info("changed settings did not reach control", zap.Error(err))
	}
}

// currentSettings returns the settings that were read last.
func (h *host) currentSettings() settings.Deployment {
	if d := h.reloaded.Load(); d != nil {
		return *d
	}
	return h.settings
}
