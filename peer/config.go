package peer

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/control"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	contactTimeout  = time.Second
	prepareTimeout  = 1500 * time.Millisecond // below the wait for a majority
	announceTimeout = 2 * time.Second
	// configCalls bounds the calls of one kind that run at once. It lets one
	// round reach a few hundred hosts within the timeouts above.
	configCalls = 64
)

// RegisterConfig adds the executors of ContactHost, PrepareHost and
// AnnounceConfig. from is the name of this host.
func RegisterConfig(pool *control.Pool, dialer *Dialer, from string) {
	control.Handle(pool, configCalls, func(ctx context.Context, c command.ContactHost) event.Event {
		contact, err := contactHost(ctx, dialer, c, from)
		return event.ContactMade{HostID: c.HostID, Contact: contact, Failure: event.FailureOf(err)}
	})
	control.Handle(pool, configCalls, func(ctx context.Context, c command.PrepareHost) event.Event {
		err := prepareHost(ctx, dialer, c)
		return event.PrepareAnswered{RequestID: c.RequestID, HostID: c.HostID, Failure: event.FailureOf(err)}
	})
	control.Handle(pool, configCalls, func(ctx context.Context, c command.AnnounceConfig) event.Event {
		// A peer that misses the announcement polls the row.
		_ = announceConfig(ctx, dialer, c)
		return nil
	})
}

// RegisterConfigAnswers adds the executors that answer calls of ConfigServer.
func RegisterConfigAnswers(pool *control.Pool, waiters *control.Waiters) {
	control.HandleNow(pool, func(c command.AnswerContact) { waiters.Answer(c.RequestID, c) })
	control.HandleNow(pool, func(c command.AnswerPrepare) { waiters.Answer(c.RequestID, c) })
}

func contactHost(ctx context.Context, dialer *Dialer, c command.ContactHost, from string) (event.Contact, error) {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	conn, err := dial(dialer, c.Address)
	if err != nil {
		return event.Contact{}, err
	}
	r, err := peerpb.NewEntryClient(conn).Contact(ctx, &peerpb.ContactRequest{From: from})
	if err != nil {
		return event.Contact{}, ErrorOf(err)
	}
	contact := event.Contact{
		Host:           r.GetHost(),
		ConfigVersion:  r.GetConfigVersion(),
		PendingVersion: r.GetPendingVersion(),
		StoreReadAge:   time.Duration(r.GetStoreReadAgeMs()) * time.Millisecond,
		EverRead:       r.GetEverRead(),
	}
	if err := json.Unmarshal(r.GetConfig(), &contact.Body); err != nil {
		return event.Contact{}, verdict.Wrap(err, verdict.Ran, verdict.ReasonBadAnswer, "decode configuration")
	}
	return contact, nil
}

func prepareHost(ctx context.Context, dialer *Dialer, c command.PrepareHost) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	conn, err := dial(dialer, c.Address)
	if err != nil {
		return err
	}
	_, err = peerpb.NewEntryClient(conn).Prepare(ctx, &peerpb.PrepareRequest{Version: c.Version})
	return ErrorOf(err)
}

func announceConfig(ctx context.Context, dialer *Dialer, c command.AnnounceConfig) error {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	conn, err := dial(dialer, c.Address)
	if err != nil {
		return err
	}
	request, err := announcement(c.Version, c.Body)
	if err != nil {
		return err
	}
	if c.Controller {
		_, err = peerpb.NewControllerClient(conn).Announce(ctx, request)
	} else {
		_, err = peerpb.NewEntryClient(conn).Announce(ctx, request)
	}
	return ErrorOf(err)
}

func announcement(version uint64, body plan.Config) (*peerpb.AnnounceRequest, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonInternal, "encode configuration")
	}
	return &peerpb.AnnounceRequest{Version: version, Config: data}, nil
}

func dial(dialer *Dialer, address string) (*grpc.ClientConn, error) {
	conn, err := dialer.Conn(address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "dial peer %s", address)
	}
	return conn, nil
}
