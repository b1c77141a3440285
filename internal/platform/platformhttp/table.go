package platformhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"foxtailhub.example/foxtailhub/internal/platform"
)

// tableService implements platform.TableService.
type tableService struct {
	client *client
}

// NewTableService returns a client of the table service.
func NewTableService(cfg Config) platform.TableService { return &tableService{client: newClient(cfg)} }

// Read returns a row.
func (t *tableService) Read(ctx context.Context, key string) (platform.Row, error) {
	var row platform.Row
	err := t.client.readJSON(ctx, PathRow+"?"+url.Values{"key": {key}}.Encode(), &row)
	return row, err
}

// List returns up to limit rows that have the prefix and follow the key after.
func (t *tableService) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []platform.Row
	err := t.client.readJSON(ctx, PathRows+"?"+query.Encode(), &rows)
	return rows, err
}

// Commit applies independent transactions in one request.
func (t *tableService) Commit(ctx context.Context, transactions []platform.Transaction) ([]platform.CommitResult, error) {
	data, err := json.Marshal(CommitRequest{Transactions: transactions})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode commit"), platform.ErrUnavailable)
	}
	body, err := t.client.write(ctx, http.MethodPost, PathCommit, data)
	if err != nil {
		return nil, err
	}
	var response CommitResponse
	if err := decode(body, &response, platform.ErrUncertain); err != nil {
		return nil, err
	}
	if len(response.Results) != len(transactions) {
		return nil, errors.Wrapf(platform.ErrUncertain, "%d results for %d transactions", len(response.Results), len(transactions))
	}
	return response.Results, nil
}
