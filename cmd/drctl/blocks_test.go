package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dandelionrack/dandelionrack/pkg/blocks"
	"github.com/dandelionrack/dandelionrack/pkg/operator"
	"github.com/dandelionrack/dandelionrack/pkg/platform"
)

// blocksBackend keeps objects in memory and refuses the first writesToRefuse
// writes.
type blocksBackend struct {
	*fakeBackend
	objects        map[blocks.Hash][]byte
	writesToRefuse int
}

func (b *blocksBackend) MissingBlocks(_ context.Context, hashes []blocks.Hash) ([]blocks.Hash, error) {
	var out []blocks.Hash
	for _, h := range hashes {
		if b.objects[h] == nil {
			out = append(out, h)
		}
	}
	return out, nil
}

func (b *blocksBackend) PutBlock(_ context.Context, h blocks.Hash, packed []byte) error {
	if b.writesToRefuse > 0 {
		b.writesToRefuse--
		return platform.ErrUnavailable
	}
	b.objects[h] = packed
	return nil
}

func (b *blocksBackend) Status(context.Context) (operator.EntryStatus, error) {
	return operator.EntryStatus{Entry: "e1", ClientBlocks: operator.BlocksStatus{Source: operator.BlocksInStore, Blocks: 2}}, nil
}

func writeFile(t testing.TB, content string) string {
	file := filepath.Join(t.TempDir(), "blocks.json")
	require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

// Guards against a publication that leaves out objects, fails because the store
// rate-limits one write, or uploads objects that the store already has.
func TestPublishBlocks(t *testing.T) {
	store := &blocksBackend{objects: map[blocks.Hash][]byte{}, writesToRefuse: 1}
	a := newAPIServerWith(t, func(b *fakeBackend) operator.Backend { store.fakeBackend = b; return store })
	code, _, stderr := drctl(t, []string{a.url}, "deployment", "apply", sampleDir+"deployment.json")
	require.Equal(t, exitOK, code, stderr)
	file := writeFile(t, "// all\n[{\"prefix\": \"20.0.0.0/24\", \"target\": \"dar-1\"},\n{\"prefix\": \"20.0.1.0/24\", \"target\": \"dar\"},] // end")

	code, stdout, stderr := drctl(t, []string{a.url}, "blocks", "publish", file)
	require.Equal(t, exitOK, code, stderr)
	require.Contains(t, stdout, "2 objects")
	index, err := blocks.ParseHash(a.doc.Deployment.ClientBlocksIndex)
	require.NoError(t, err)
	x, err := blocks.OpenIndex(store.objects[index], index)
	require.NoError(t, err)
	list, err := blocks.OpenChunk(x.Chunks[0], store.objects[x.Chunks[0].Hash])
	require.NoError(t, err)
	require.Len(t, list, 2)

	code, stdout, _ = drctl(t, []string{a.url}, "blocks", "publish", file)
	require.Equal(t, exitOK, code)
	require.Contains(t, stdout, "0 objects")
	code, stdout, _ = drctl(t, []string{a.url}, "blocks", "publish", "--upload-all", file)
	require.Equal(t, exitOK, code)
	require.Contains(t, stdout, "2 objects")
	code, _, _ = drctl(t, []string{a.url}, "blocks", "publish", "--base-version", "1", file)
	require.Equal(t, exitConflict, code)
	code, stdout, _ = drctl(t, []string{a.url}, "blocks", "show")
	require.Equal(t, exitOK, code)
	require.Contains(t, stdout, "source          index")
}

// Guards against findings that name the wrong line.
func TestBlockFileFindings(t *testing.T) {
	file := writeFile(t, "[\n{\"prefix\": \"20.0.0.1/24\", \"target\": \"a\"},\n{\"prefix\": \"20.0.1.0/24\", \"target\": \"a\"},\n"+
		"{\"prefix\": \"20.0.1.0/24\", \"target\": \"b\"},\n{\"prefix\": \"20.0.2.0/24\"}\n]")
	_, err := loadBlocks(file)
	require.ErrorContains(t, err, "blocks.json:2: client_blocks[0].prefix")
	require.ErrorContains(t, err, "blocks.json:4: client_blocks[2].prefix: 20.0.1.0/24 is used already at client_blocks[1]")
	require.ErrorContains(t, err, "client_blocks[3].target")
}

// Guards against a file that crashes the program, or whose blocks pass the
// checks but cannot be split into chunks.
func FuzzLoadBlocks(f *testing.F) {
	twice := "[{\"prefix\": \"20.0.0.0/24\", \"target\": \"a\"}, {\"prefix\": \"20.0.0.0/24\", \"target\": \"b\"}]"
	for _, seed := range []string{"[]", twice, "[{\"prefix\": \"20.0.0.0/24\", \"target\": \"a\"}]", "// x", "[}", "]}, {\"a\": [", "[{\"prefix\": \"::ffff:1.0.0.0/104\", \"target\": \"a\"}]"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, content string) {
		list, err := loadBlocks(writeFile(t, content))
		if err != nil {
			return
		}
		_, err = blocks.Split(list)
		require.NoError(t, err)
	})
}
