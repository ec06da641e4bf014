package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/dandelionrack/dandelionrack/pkg/blocks"
)

// maxMissingHashes bounds one request for missing objects. It covers all chunks
// of the largest index.
const maxMissingHashes = 20_000

// BlocksSource is the source of the client blocks in force.
type BlocksSource string

// Sources of client blocks.
const (
	BlocksNone       BlocksSource = "none" // no complete table yet
	BlocksInDocument BlocksSource = "document"
	BlocksInStore    BlocksSource = "index"
)

// BlocksStatus describes the table of client blocks of one entry instance.
type BlocksStatus struct {
	Source BlocksSource `json:"source"`
	// Index is the SHA-256 of the index in force.
	Index string `json:"index,omitempty"`
	// Wanted is the configured index while it is not in force yet.
	Wanted string    `json:"wanted,omitempty"`
	Blocks int       `json:"blocks"`
	Chunks int       `json:"chunks,omitempty"`
	Since  time.Time `json:"since,omitzero"`
	// Fetched counts objects and bytes since the start of the process.
	Fetched  blocks.FetchStats `json:"fetched"`
	Switches int64             `json:"switches"` // to another index
	Failures int64             `json:"failures"` // fetches that must be retried
	Served   int64             `json:"served"`   // objects sent to peers
	// LastError is the reason why Wanted is not in force.
	LastError string `json:"last_error,omitempty"`
}

// BlockHashes is the request and response body of POST /v1/blocks/missing.
type BlockHashes struct {
	Hashes []string `json:"hashes"`
}

func (h *handlers) missingBlocks(r *http.Request) (any, error) {
	// A hash takes 64 digits, two quotes and a comma.
	const bytesPerHash = 80
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxMissingHashes*bytesPerHash))
	if err != nil {
		return nil, badRequest("read the hashes: " + err.Error())
	}
	hashes, err := parseHashes(data)
	if err != nil {
		return nil, err
	}
	missing, err := h.backend.MissingBlocks(r.Context(), hashes)
	if err != nil {
		return nil, err
	}
	return encodeHashes(missing), nil
}

func parseHashes(data []byte) ([]blocks.Hash, error) {
	var in BlockHashes
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, badRequest("decode the hashes: " + err.Error())
	}
	if len(in.Hashes) > maxMissingHashes {
		return nil, badRequest("too many hashes")
	}
	out := make([]blocks.Hash, len(in.Hashes))
	for i, text := range in.Hashes {
		var err error
		if out[i], err = blocks.ParseHash(text); err != nil {
			return nil, badRequest(err.Error())
		}
	}
	return out, nil
}

func encodeHashes(hashes []blocks.Hash) BlockHashes {
	out := BlockHashes{Hashes: make([]string, len(hashes))}
	for i, h := range hashes {
		out.Hashes[i] = h.String()
	}
	return out
}

func (h *handlers) putBlock(r *http.Request) (any, error) {
	hash, err := blocks.ParseHash(pathvar.Vars(r)["id"])
	if err != nil {
		return nil, badRequest(err.Error())
	}
	packed, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, blocks.MaxPackedBytes))
	if err != nil {
		return nil, badRequest("read the object: " + err.Error())
	}
	return struct{}{}, h.backend.PutBlock(r.Context(), hash, packed)
}

// MissingBlocks returns the hashes for which the object store has no object.
func (c *Client) MissingBlocks(ctx context.Context, hashes []blocks.Hash) ([]blocks.Hash, error) {
	resp, err := call[BlockHashes](ctx, c, http.MethodPost, "/v1/blocks/missing", encodeHashes(hashes))
	if err != nil {
		return nil, err
	}
	out := make([]blocks.Hash, len(resp.Hashes))
	for i, text := range resp.Hashes {
		if out[i], err = blocks.ParseHash(text); err != nil {
			return nil, err
		}
	}
	return out, nil
}

// PutBlock stores a packed chunk or index under the hash of its content.
func (c *Client) PutBlock(ctx context.Context, hash blocks.Hash, packed []byte) error {
	_, err := call[struct{}](ctx, c, http.MethodPut, "/v1/blocks/objects/"+hash.String(), packed)
	return err
}
