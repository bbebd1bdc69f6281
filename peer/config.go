package peer

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"

	"github.com/lavenderstand/lavenderstand/command"
	"github.com/lavenderstand/lavenderstand/event"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/plan"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// Timeouts of the calls. WithdrawHost uses prepareTimeout as well.
const (
	contactTimeout  = time.Second
	prepareTimeout  = 1500 * time.Millisecond // shorter than the wait for a majority of hosts
	announceTimeout = 2 * time.Second
)

// ContactHost asks a peer for its view of the configuration. The parameter from
// is the name of the calling host.
func ContactHost(ctx context.Context, dialer *Dialer, c command.ContactHost, from string) (event.Contact, error) {
	ctx, cancel := context.WithTimeout(ctx, contactTimeout)
	defer cancel()
	conn, err := dial(dialer, c.Address)
	if err != nil {
		return event.Contact{}, err
	}
	r, err := peerpb.NewEntryClient(conn).Contact(ctx, &peerpb.ContactRequest{From: from, ConfigVersion: c.ConfigVersion})
	if err != nil {
		return event.Contact{}, ErrorOf(err)
	}
	contact := event.Contact{
		Host:           r.GetHost(),
		ConfigVersion:  r.GetConfigVersion(),
		PendingVersion: r.GetPendingVersion(),
		StoreReadAge:   time.Duration(r.GetStoreReadAgeMs()) * time.Millisecond,
		CountsVote:     r.GetEverRead(),
	}
	if contact.ConfigVersion <= c.ConfigVersion {
		return contact, nil // the caller has this body already, so it may be missing
	}
	if err := json.Unmarshal(r.GetConfig(), &contact.Body); err != nil {
		return event.Contact{}, verdict.Wrap(err, verdict.Ran, verdict.ReasonBadAnswer, "decode configuration")
	}
	return contact, nil
}

// PrepareHost asks a peer to record a pending configuration version.
func PrepareHost(ctx context.Context, dialer *Dialer, c command.PrepareHost) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	conn, err := dial(dialer, c.Address)
	if err != nil {
		return err
	}
	_, err = peerpb.NewEntryClient(conn).Prepare(ctx, &peerpb.PrepareRequest{Version: c.Version, Change: c.RequestID})
	return ErrorOf(err)
}

// WithdrawHost tells a peer that a prepared change will never be accepted.
func WithdrawHost(ctx context.Context, dialer *Dialer, c command.WithdrawHost) error {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	conn, err := dial(dialer, c.Address)
	if err != nil {
		return err
	}
	_, err = peerpb.NewEntryClient(conn).Withdraw(ctx, &peerpb.WithdrawRequest{Change: c.Change})
	return ErrorOf(err)
}

// AnnounceConfig sends an accepted configuration to a peer.
func AnnounceConfig(ctx context.Context, dialer *Dialer, c command.AnnounceConfig) error {
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
