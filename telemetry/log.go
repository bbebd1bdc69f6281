// Package telemetry sets up the log and the metrics of a process.
package telemetry

import (
	"fmt"

	"go.uber.org/zap"

	"github.com/lavenderstand/lavenderstand/settings"
)

// NewLogger returns a logger that writes to standard error.
func NewLogger(s settings.Log) (*zap.Logger, error) {
	level, err := zap.ParseAtomicLevel(s.Level)
	if err != nil {
		return nil, fmt.Errorf("log.level: %w", err)
	}
	c := zap.NewProductionConfig()
	if s.Format == "console" {
		c = zap.NewDevelopmentConfig()
	}
	c.Level, c.Sampling = level, nil
	c.DisableStacktrace, c.DisableCaller = true, true
	return c.Build()
}
