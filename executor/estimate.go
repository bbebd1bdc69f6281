package executor

import (
	"time"

	"github.com/lavenderstand/lavenderstand/command"
)

// PublishEstimate passes the estimate of a server to the request goroutines.
func PublishEstimate(c command.PublishEstimate) {
	c.Load.SetEstimate(c.Estimate, c.Stream, c.Age, time.Now())
}
