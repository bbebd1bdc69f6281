package main

import (
	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/traffic"
)

// maxPendingTextBytes bounds the memory for sample texts that wait to be written during an
// outage of the object store.
const maxPendingTextBytes = 64 << 20

func (e *entry) registerGRPC(s *grpc.Server) {
	samples := &traffic.SampleRunner{Router: e.router, Objects: e.Objects, Texts: traffic.NewTextLimit(maxPendingTextBytes)}
	peerpb.RegisterEntryServer(s, &peer.EntryServer{
		Samples: peer.GenerateServer{Runner: samples},
		Config:  &peer.ConfigServer{Ask: e.Ask, Deliver: e.Inbox.Deliver},
	})
}
