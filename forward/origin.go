package forward

import (
	"context"

	"github.com/lavenderstand/lavenderstand/registry"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// StreamID identifies a stream across the attempts of its caller and across hosts.
type StreamID struct {
	Service string
	Attempt string // id of the attempt that brought the first event
}

// Origins tells which software version began a stream, also after the host that forwarded its
// first events has lost what it knew.
type Origins interface {
	// Began records the version of the server that sent the first event of a stream. It does
	// not block.
	Began(s StreamID, v registry.Software)
	// Find returns the version that began a stream. The verdict of an error is not run.
	Find(ctx context.Context, s StreamID) (registry.Software, error)
}

func (f *Forwarder) findOrigin(ctx context.Context, s StreamID) (registry.Software, error) {
	if f.Origins == nil {
		return "", verdict.New(verdict.NotRun, verdict.ReasonSoftwareUnknown, "software versions of streams are not recorded")
	}
	return f.Origins.Find(ctx, s)
}
