package main

import (
	"runtime/debug"

	"github.com/lavenderstand/lavenderstand/memory"
)

const (
	// requestMemoryRatio is the share of the memory limit that all requests together may
	// reserve. The rest is for tables, caches, small requests, socket buffers and garbage.
	requestMemoryRatio = 0.35
	// gcMemoryRatio is the share of the memory limit that the garbage collector aims for. The
	// kernel counts socket buffers in addition.
	gcMemoryRatio = 0.75
	// defaultMemoryMB is assumed if the settings do not state the memory limit.
	defaultMemoryMB = 256
	bytesPerMB      = 1_000_000
)

// limitMemory keeps the process within its memory limit, given in MB, and returns the budget
// of its requests. Without a limit, only the requests are bounded.
func limitMemory(limitMB int) *memory.Budget {
	limit := float64(memoryBytes(limitMB))
	if limitMB > 0 {
		debug.SetMemoryLimit(int64(gcMemoryRatio * limit))
	}
	return memory.NewBudget(int64(requestMemoryRatio * limit))
}

// memoryBytes returns the memory limit in bytes.
func memoryBytes(limitMB int) int64 {
	if limitMB <= 0 {
		limitMB = defaultMemoryMB
	}
	return int64(limitMB) * bytesPerMB
}
