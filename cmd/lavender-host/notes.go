package main

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/lavenderstand/lavenderstand/capacity"
	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/peer"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// shareTimeout bounds an exchange of estimates with another host. It is far above the network
// delay between hosts and a tick of a slow host.
const shareTimeout = 500 * time.Millisecond

// localNotes passes the estimates of other hosts to control.
type localNotes struct{ host *host }

// Share implements peer.NoteExchanger.
func (l localNotes) Share(ctx context.Context, s capacity.Share) ([]capacity.Note, error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	id := strconv.FormatUint(rand.Uint64(), 36)
	answer, err := l.host.waiters.Call(ctx, l.host.inbox, id, event.NotesReceived{RequestID: id, Share: s})
	if err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.ReasonDeadline, "exchange estimates")
	}
	return answer.(command.AnswerNotes).Notes, nil
}

// shareNotes exchanges estimates with another host.
func (h *host) shareNotes(ctx context.Context, c command.ShareNotes) event.Event {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	client := &peer.ServersClient{Dialer: h.dialer, Self: h.settings.Host, Address: c.Address}
	notes, err := client.Share(ctx, c.Share)
	return event.NotesExchanged{Notes: notes, Failure: event.FailureOf(err)}
}
