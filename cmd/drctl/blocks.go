package main

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/blocks"
	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/findings"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/settings"
)

type blocksCmd struct {
	Publish blocksPublishCmd `cmd:"" help:"Replace the client blocks with those of a file, outside the configuration document."`
	Show    blocksShowCmd    `cmd:"" help:"Show the client blocks in force at the entry instance that answers."`
}

type blocksPublishCmd struct {
	File      string `arg:"" type:"existingfile" help:"JSON with comments: a list of {\"prefix\": ..., \"target\": failure domain or region}."`
	UploadAll bool   `help:"Upload every object, also those that the object store has; replaces damaged ones."`
	baseVersionFlag
}

// fileBlock is one client block of a file.
type fileBlock struct {
	Prefix string `json:"prefix"`
	Target string `json:"target"`
}

// blocksFile wraps the list of a file, because settings.Parse needs a struct.
type blocksFile struct {
	ClientBlocks []fileBlock `json:"client_blocks"`
}

// publishResult is the output of "drctl blocks publish".
type publishResult struct {
	changeResult
	Index    string `json:"index"`
	Blocks   int    `json:"blocks"`
	Chunks   int    `json:"chunks"`
	Uploaded int    `json:"uploaded"`
	Bytes    int    `json:"uploaded_bytes"`
}

func (c *blocksPublishCmd) Run(s *session) error {
	list, err := loadBlocks(c.File)
	if err != nil {
		return err
	}
	chunks, err := blocks.Split(list)
	if err != nil {
		return err
	}
	base, err := c.base(s)
	if err != nil {
		return err
	}
	index := blocks.NewIndex(chunks)
	out := publishResult{Index: index.Hash().String(), Blocks: index.BlockCount(), Chunks: len(chunks)}
	if err := c.upload(s, index, chunks, &out); err != nil {
		return err
	}
	op := config.SetClientBlocksIndex{Index: out.Index, BaseVersion: base}
	doc, err := s.submit(op)
	if err != nil {
		return err
	}
	out.changeResult = changeResult{Object: op.Object(), ChangeID: doc.Change.ID, Version: doc.Version}
	return s.emit(out, func(w io.Writer) {
		row(w, "accepted", out.Object, fmt.Sprintf("version %d", out.Version), "change "+out.ChangeID)
		row(w, "index", out.Index)
		row(w, "blocks", out.Blocks, fmt.Sprintf("%d chunks", out.Chunks))
		row(w, "uploaded", fmt.Sprintf("%d objects", out.Uploaded), fmt.Sprintf("%d bytes", out.Bytes))
	})
}

// loadBlocks reads and checks a file. Findings name the line.
func loadBlocks(path string) ([]blocks.Block, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read client blocks")
	}
	// No newline before the list, so that line numbers match the file; one after
	// it, because the file may end in a comment.
	wrapped := append([]byte(`{"client_blocks": `), data...)
	wrapped = append(wrapped, "\n}"...)
	var (
		file blocksFile
		out  []blocks.Block
	)
	err = settings.Parse(path, wrapped, &file, func(l *findings.List) { out = checkBlocks(file.ClientBlocks, l) })
	return out, err
}

func checkBlocks(in []fileBlock, l *findings.List) []blocks.Block {
	out := make([]blocks.Block, 0, len(in))
	first := make(map[netip.Prefix]int, len(in))
	for i, b := range in {
		path := fmt.Sprintf("client_blocks[%d]", i)
		prefix, err := netip.ParsePrefix(b.Prefix)
		switch {
		case err != nil:
			l.Add(path+".prefix", "%q must be an address prefix such as 10.0.0.0/16", b.Prefix)
			continue
		case prefix != prefix.Masked():
			l.Add(path+".prefix", "%q has bits set after the prefix; use %s", b.Prefix, prefix.Masked())
			continue
		}
		if previous, ok := first[prefix]; ok {
			l.Add(path+".prefix", "%s is used already at client_blocks[%d]", prefix, previous)
			continue
		}
		first[prefix] = i
		if b.Target == "" || len(b.Target) > blocks.MaxTargetName {
			l.Add(path+".target", "must be the name of a failure domain or region")
			continue
		}
		out = append(out, blocks.Block{Prefix: prefix, Target: b.Target})
	}
	return out
}

func (c *blocksPublishCmd) base(s *session) (uint64, error) {
	if c.BaseVersion != nil {
		return *c.BaseVersion, nil
	}
	doc, err := s.document()
	if err != nil {
		return 0, err
	}
	return doc.DeploymentVersion, nil
}

// upload sends the objects that the object store lacks. The index goes last, so
// that a stored index has all its chunks.
func (c *blocksPublishCmd) upload(s *session, index blocks.Index, chunks []blocks.Chunk, out *publishResult) error {
	order := make([]blocks.Hash, 0, len(chunks)+1)
	data := make(map[blocks.Hash][]byte, len(chunks)+1)
	for _, chunk := range chunks {
		order = append(order, chunk.Hash)
		data[chunk.Hash] = chunk.Data
	}
	order = append(order, index.Hash())
	data[index.Hash()] = index.Encode()
	if !c.UploadAll {
		var err error
		order, err = call(s, func(ctx context.Context, cl *operator.Client) ([]blocks.Hash, error) {
			return cl.MissingBlocks(ctx, order)
		})
		if err != nil {
			return err
		}
	}
	for _, hash := range order {
		packed := blocks.Pack(data[hash])
		if err := s.uploadBlock(hash, packed); err != nil {
			return errors.Wrapf(err, "upload %s", hash)
		}
		out.Uploaded++
		out.Bytes += len(packed)
		if err := s.sleep(uploadInterval); err != nil {
			return err
		}
	}
	return nil
}

const (
	// uploadInterval limits uploads to 50 per second. The store accepts several
	// hundred writes per second; most of them must stay available for claims.
	uploadInterval = 20 * time.Millisecond
	// uploadAttempts and uploadRetryInterval cover a short time in which the store
	// refuses writes because of its rate limit.
	uploadAttempts      = 5
	uploadRetryInterval = 500 * time.Millisecond
)

func (s *session) uploadBlock(hash blocks.Hash, packed []byte) error {
	for attempt := 1; ; attempt++ {
		_, err := call(s, func(ctx context.Context, cl *operator.Client) (struct{}, error) {
			return struct{}{}, cl.PutBlock(ctx, hash, packed)
		})
		var api *operator.Error
		if !errors.As(err, &api) || api.Code != operator.CodeUnavailable || attempt == uploadAttempts {
			return err
		}
		if err := s.sleep(uploadRetryInterval); err != nil {
			return err
		}
	}
}

type blocksShowCmd struct{}

func (blocksShowCmd) Run(s *session) error {
	e, err := call(s, func(ctx context.Context, c *operator.Client) (operator.EntryStatus, error) {
		return c.Status(ctx)
	})
	if err != nil {
		return err
	}
	b := e.ClientBlocks
	return s.emit(b, func(w io.Writer) {
		row(w, "entry instance", e.Entry)
		row(w, "source", b.Source)
		row(w, "index", b.Index)
		if b.Wanted != "" {
			row(w, "not in force yet", b.Wanted, b.LastError)
		}
		row(w, "blocks", b.Blocks)
		row(w, "chunks", b.Chunks)
		row(w, "in force since", formatTime(b.Since))
		row(w, "fetched", fmt.Sprintf("%d objects from peers, %d from the object store, %d bytes",
			b.Fetched.FromPeers, b.Fetched.FromStore, b.Fetched.Bytes))
	})
}
