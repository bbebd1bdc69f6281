package tablestore

import (
	"context"

	"github.com/lavenderstand/lavenderstand/verdict"
)

// GetWithRetry reads a row and retries transient failures with backoff until ctx
// ends.
func GetWithRetry(ctx context.Context, tables Tables, key string, r ResolveOptions) (Row, bool, error) {
	c := commit{ResolveOptions: r}
	if c.AttemptTimeout == 0 {
		c.AttemptTimeout = DefaultAttemptTimeout
	}
	for attempt := 0; ; attempt++ {
		row, found, err := c.getOnce(ctx, tables, key)
		if err == nil || !transient(verdict.ReasonOf(err)) || !c.wait(ctx, attempt) {
			return row, found, err
		}
		c.count(verdict.ReasonOf(err))
	}
}

func (c *commit) getOnce(ctx context.Context, tables Tables, key string) (Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	return tables.Get(ctx, key)
}
