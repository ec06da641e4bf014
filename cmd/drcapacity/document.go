package main

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
)

type documentCommand struct {
	Blocks    []int `help:"Numbers of client blocks." default:"0,1000,36000,360000"`
	Contracts []int `help:"Numbers of contracts." default:"1,100,1000"`
	Servers   []int `help:"Numbers of backend servers." default:"36,360,3600"`
	Entries   []int `help:"Numbers of entry instances." default:"8,64,540"`
}

// Run varies one dimension at a time.
func (c *documentCommand) Run(ctx context.Context, out *report) error {
	for _, dimension := range []struct {
		name  string
		sizes []int
		make  func(n int) *config.Document
	}{
		{"client blocks", c.Blocks, func(n int) *config.Document { return sampleDocument(0, 0, 0, n) }},
		{"contracts", c.Contracts, func(n int) *config.Document { return sampleDocument(0, 0, n, 0) }},
		{"backend servers", c.Servers, func(n int) *config.Document { return sampleDocument(0, n, 0, 0) }},
		{"entry instances", c.Entries, func(n int) *config.Document { return sampleDocument(n, 0, 0, 0) }},
	} {
		for _, n := range dimension.sizes {
			if err := ctx.Err(); err != nil {
				return err
			}
			if err := measureDocument(out, fmt.Sprintf("%d %s", n, dimension.name), dimension.make(n)); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureDocument(out *report, title string, doc *config.Document) error {
	start := selfCPU()
	data, err := config.Encode(doc)
	if err != nil {
		return err
	}
	encode := selfCPU() - start
	packed, err := deflatedSize(data)
	if err != nil {
		return err
	}
	before := liveHeap()
	rounds := max(1, min(200, 20_000_000/len(data)))
	start = selfCPU()
	var decoded *config.Document
	for range rounds {
		if decoded, err = config.Decode(data); err != nil {
			return err
		}
	}
	decode := (selfCPU() - start) / time.Duration(rounds)
	held := float64(liveHeap()) - float64(before)
	out.row(title, metric{"json_bytes", float64(len(data))}, metric{"deflate_bytes", float64(packed)},
		metric{"encode_cpu_ms", millis(encode)}, metric{"decode_cpu_ms", millis(decode)}, metric{"heap_bytes", held})
	runtime.KeepAlive(decoded)
	runtime.KeepAlive(data)
	return nil
}

func deflatedSize(data []byte) (int, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return 0, errors.Wrap(err, "compressor")
	}
	if _, err := w.Write(data); err != nil {
		return 0, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return 0, errors.Wrap(err, "compress")
	}
	return b.Len(), nil
}
