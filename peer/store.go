package peer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lavenderstand/lavenderstand/memory"
	"github.com/lavenderstand/lavenderstand/peer/peerpb"
	"github.com/lavenderstand/lavenderstand/store"
	"github.com/lavenderstand/lavenderstand/verdict"
)

// StoreServer relays calls to the store for hosts that the store does not serve.
type StoreServer struct {
	peerpb.UnimplementedStoreServer
	Store  store.Client
	Memory *memory.Budget // bounds the bytes that relayed calls hold together with other requests
}

// relayedCallBytes is the memory of a relayed call: the rows as read from one side and as
// encoded for the other.
const relayedCallBytes = 2 << 20

// maxRangeBytes bounds the rows that a host receives from another one. A page of results is
// the largest range.
const maxRangeBytes = 9 << 20

// reserve reserves the memory of a call, until its scope is closed.
func (s *StoreServer) reserve() (*memory.Scope, error) {
	scope := s.Memory.Scope()
	if err := scope.Open(nil).Resize(relayedCallBytes); err != nil {
		scope.Close()
		return nil, storeStatus(err)
	}
	return scope, nil
}

// Commit implements peerpb.StoreServer.
func (s *StoreServer) Commit(ctx context.Context, r *peerpb.StoreCommitRequest) (*peerpb.StoreCommitResponse, error) {
	scope, err := s.reserve()
	if err != nil {
		return nil, err
	}
	defer scope.Close()
	c := store.Commit{Put: storeRowsFromProto(r.Put)}
	for _, e := range storeRowsFromProto(r.Expect) {
		c.Conditions = append(c.Conditions, store.Condition{Key: e.Key, Version: e.Version})
	}
	for _, d := range storeRowsFromProto(r.Delete) {
		c.Delete = append(c.Delete, d.Key)
	}
	version, err := s.Store.Commit(ctx, c)
	var conflict *store.Conflict
	if errors.As(err, &conflict) {
		return &peerpb.StoreCommitResponse{Conflict: true, Current: storeRowsToProto(conflict.Current)}, nil
	}
	if err != nil {
		return nil, storeStatus(err)
	}
	return &peerpb.StoreCommitResponse{Version: version}, nil
}

// Read implements peerpb.StoreServer.
func (s *StoreServer) Read(ctx context.Context, r *peerpb.StoreReadRequest) (*peerpb.StoreRange, error) {
	scope, err := s.reserve()
	if err != nil {
		return nil, err
	}
	defer scope.Close()
	return storeRangeToProto(s.Store.Read(ctx, r.Table, r.Part, r.From, int(r.Limit)))
}

// Changes implements peerpb.StoreServer.
func (s *StoreServer) Changes(ctx context.Context, r *peerpb.StoreChangesRequest) (*peerpb.StoreRange, error) {
	return storeRangeToProto(s.Store.Changes(ctx, r.Table, r.After, time.Duration(r.WaitMs)*time.Millisecond))
}

func storeRangeToProto(r store.Range, err error) (*peerpb.StoreRange, error) {
	if errors.Is(err, store.ErrHistoryGone) {
		return &peerpb.StoreRange{HistoryGone: true}, nil
	}
	if err != nil {
		return nil, storeStatus(err)
	}
	return &peerpb.StoreRange{Rows: storeRowsToProto(r.Rows), Version: r.Version}, nil
}

func storeStatus(err error) error {
	code := codes.Unknown
	switch {
	case verdict.ReasonOf(err) == verdict.ReasonStoreRejected:
		code = codes.InvalidArgument
	case verdict.Of(err) == verdict.NotRun:
		code = codes.Aborted
	}
	return status.Error(code, verdict.Message(err))
}

// StoreClient calls the store through another host. It does not relay object calls.
type StoreClient struct {
	Dialer  *Dialer
	Address string
}

// Commit applies a commit to the store through the host.
func (c *StoreClient) Commit(ctx context.Context, commit store.Commit) (uint64, error) {
	client, err := c.client()
	if err != nil {
		return 0, err
	}
	r := &peerpb.StoreCommitRequest{Put: storeRowsToProto(commit.Put)}
	for _, e := range commit.Conditions {
		r.Expect = append(r.Expect, storeRowToProto(store.Row{Key: e.Key, Version: e.Version}))
	}
	for _, k := range commit.Delete {
		r.Delete = append(r.Delete, storeRowToProto(store.Row{Key: k}))
	}
	response, err := client.Commit(ctx, r)
	if err != nil {
		return 0, storeError(err)
	}
	if response.Conflict {
		return 0, &store.Conflict{Current: storeRowsFromProto(response.Current)}
	}
	return response.Version, nil
}

// Read reads the rows of a partition from the store through the host.
func (c *StoreClient) Read(ctx context.Context, table, part, from string, limit int) (store.Range, error) {
	client, err := c.client()
	if err != nil {
		return store.Range{}, err
	}
	r, err := client.Read(ctx, &peerpb.StoreReadRequest{Table: table, Part: part, From: from, Limit: int32(limit)}, grpc.MaxCallRecvMsgSize(maxRangeBytes))
	return storeRangeFromProto(r, err)
}

// Changes reads the changes of a table after a version from the store through the host.
func (c *StoreClient) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (store.Range, error) {
	client, err := c.client()
	if err != nil {
		return store.Range{}, err
	}
	r, err := client.Changes(ctx, &peerpb.StoreChangesRequest{Table: table, After: after, WaitMs: wait.Milliseconds()})
	return storeRangeFromProto(r, err)
}

func (c *StoreClient) client() (peerpb.StoreClient, error) {
	conn, err := c.Dialer.Conn(c.Address)
	if err != nil {
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.ReasonConnectFailed, "dial host %s", c.Address)
	}
	return peerpb.NewStoreClient(conn), nil
}

func storeRangeFromProto(r *peerpb.StoreRange, err error) (store.Range, error) {
	if err != nil {
		return store.Range{}, storeError(err)
	}
	if r.HistoryGone {
		return store.Range{}, store.ErrHistoryGone
	}
	return store.Range{Rows: storeRowsFromProto(r.Rows), Version: r.Version}, nil
}

// storeError returns the error for a failed call. Only the codes Aborted and
// InvalidArgument indicate that the call had no effect; the store will never accept a call
// with the latter. After a broken connection the outcome is unknown.
func storeError(err error) error {
	v, reason := verdict.MayHaveRun, verdict.ReasonStoreUnavailable
	switch status.Code(err) {
	case codes.Aborted:
		v = verdict.NotRun
	case codes.InvalidArgument:
		v, reason = verdict.NotRun, verdict.ReasonStoreRejected
	}
	return verdict.Wrap(err, v, reason, "call to the store through another host failed")
}

func storeRowToProto(r store.Row) *peerpb.StoreRow {
	return &peerpb.StoreRow{
		Table: r.Table, Part: r.Part, Name: r.Name, Value: r.Value, Version: r.Version, Deleted: r.Deleted,
	}
}

func storeRowsToProto(rows []store.Row) []*peerpb.StoreRow {
	out := make([]*peerpb.StoreRow, len(rows))
	for i, r := range rows {
		out[i] = storeRowToProto(r)
	}
	return out
}

func storeRowsFromProto(rows []*peerpb.StoreRow) []store.Row {
	out := make([]store.Row, len(rows))
	for i, r := range rows {
		out[i] = store.Row{
			Key:   store.Key{Table: r.Table, Part: r.Part, Name: r.Name},
			Value: r.Value, Version: r.Version, Deleted: r.Deleted,
		}
	}
	return out
}
