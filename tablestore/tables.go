package tablestore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/lavenderstand/lavenderstand/verdict"
)

const (
	// maxTableBytes bounds an answer of the table service.
	maxTableBytes = 64 << 20
	// scanPageRows is the number of rows that a scan asks for at once.
	scanPageRows = 1000
)

// TablesClient is a client of the table service over HTTP.
type TablesClient struct {
	base   string
	client *http.Client
}

// NewTablesClient returns a client of the service at base, a URL.
func NewTablesClient(base string, client *http.Client) *TablesClient {
	return &TablesClient{base: base, client: client}
}

// Check reports a transaction that no table service would accept.
func (t Txn) Check() error {
	switch n := len(t.Put) + len(t.Delete); {
	case t.Op == "":
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "transaction without operation id")
	case n == 0:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "transaction writes no rows")
	case n > MaxTxnRows:
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest,
			"transaction writes %d rows, more than %d", n, MaxTxnRows)
	}
	return nil
}

// Commit implements Tables.
func (c *TablesClient) Commit(ctx context.Context, txn Txn) (TxnResult, error) {
	if err := txn.Check(); err != nil {
		return TxnResult{}, err
	}
	body, err := json.Marshal(txn)
	if err != nil {
		return TxnResult{}, verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadRequest, "encode transaction")
	}
	resp, err := write(ctx, c.client, http.MethodPost, c.base+"/v1/txn", body)
	if err != nil {
		return TxnResult{}, err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return TxnResult{}, statusError(resp, "commit transaction")
	}
	var result TxnResult
	err = decode(resp.Body, maxTableBytes, &result)
	if err != nil || result.Committed != (resp.StatusCode == http.StatusOK) {
		return TxnResult{}, verdict.New(verdict.MayHaveRun, verdict.ReasonBadAnswer,
			"commit transaction: unreadable answer with status %d: %v", resp.StatusCode, err)
	}
	return result, nil
}

// Get implements Tables.
func (c *TablesClient) Get(ctx context.Context, key string) (Row, bool, error) {
	resp, err := read(ctx, c.client, c.base+"/v1/row?key="+url.QueryEscape(key))
	if err != nil {
		return Row{}, false, err
	}
	defer closeBody(resp)
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return Row{}, false, nil
	default:
		return Row{}, false, readStatusError(resp, "read row "+key)
	}
	var row Row
	if err := decode(resp.Body, maxTableBytes, &row); err != nil || row.Key != key || row.Version == 0 {
		return Row{}, false, verdict.New(verdict.NotRun, verdict.ReasonBadAnswer, "read row %s: bad answer: %v", key, err)
	}
	return row, true, nil
}

// Scan implements Tables.
func (c *TablesClient) Scan(ctx context.Context, prefix string) ([]Row, error) {
	var rows []Row
	after := ""
	for {
		page, next, err := c.scanPage(ctx, prefix, after)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page...)
		if next == "" {
			return rows, nil
		}
		if next <= after {
			return nil, verdict.New(verdict.NotRun, verdict.ReasonBadAnswer, "scan %s: page does not advance", prefix)
		}
		after = next
	}
}

func (c *TablesClient) scanPage(ctx context.Context, prefix, after string) ([]Row, string, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(scanPageRows)}}
	resp, err := read(ctx, c.client, c.base+"/v1/rows?"+query.Encode())
	if err != nil {
		return nil, "", err
	}
	defer closeBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, "", readStatusError(resp, "scan "+prefix)
	}
	var page struct {
		Rows []Row  `json:"rows"`
		Next string `json:"next"`
	}
	if err := decode(resp.Body, maxTableBytes, &page); err != nil {
		return nil, "", verdict.Wrap(err, verdict.NotRun, verdict.ReasonBadAnswer, "scan %s", prefix)
	}
	return page.Rows, page.Next, nil
}
