package entry

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/dandelionrack/dandelionrack/pkg/config"
	"github.com/dandelionrack/dandelionrack/pkg/lookup"
	"github.com/dandelionrack/dandelionrack/pkg/membership"
	"github.com/dandelionrack/dandelionrack/pkg/wire"
)

const (
	// configPollInterval bounds the delay of a configuration change whose push was
	// lost, while the table service can be reached.
	configPollInterval = time.Second
	configCallTimeout  = 2 * time.Second
)

// adoptConfig applies a document if it is newer than the current one.
func (e *Entry) adoptConfig(doc *config.Document, source string) {
	if doc == nil || !e.config.Offer(doc) {
		return
	}
	if err := e.applyConfig(); err != nil {
		e.log.Error("configuration cannot be used; keeping the previous one",
			"version", doc.Version, "source", source, "error", err)
		return
	}
	e.log.Info("configuration in force", "version", doc.Version, "source", source, "change", doc.Change.Summary)
}

// applyConfig applies the newest document. After concurrent calls the newest version
// is in force, because each call reads it under the lock.
func (e *Entry) applyConfig() error {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	doc := e.config.Current()
	if old := e.currentView(); old != nil && old.doc.Version >= doc.Version {
		return nil
	}
	table, err := documentBlockTable(&doc.Deployment)
	if err != nil {
		return err
	}
	v := newView(doc, e.settings.FailureDomain, &e.blocks.table)
	now := time.Now()
	e.membershipUpdate(func() { e.members.SetPeers(now, doc.Deployment.EntryInstances) })
	e.applyLimits(v, now)
	e.applyServers(v)
	e.poller.SetTargets(e.pollTargets(v))
	// After servers and limits, so that no request uses a view for which they are
	// not set yet.
	e.view.Store(v)
	// After the view, which contains the peers to fetch blocks from.
	if table == nil {
		e.blocks.useIndex(doc.Deployment.ClientBlocksIndex)
	} else {
		e.blocks.useDocument(table)
	}
	select {
	case e.serversChanged <- struct{}{}:
	default:
	}
	e.metrics.configVersion.Set(int64(doc.Version))
	e.triggerHeartbeat()
	return nil
}

// documentBlockTable builds the table of the client blocks in a document. It returns
// nil if the document names an index instead.
func documentBlockTable(dep *config.Deployment) (*lookup.Table, error) {
	if dep.ClientBlocksIndex != "" {
		return nil, nil
	}
	table, err := lookup.Build(dep)
	if err != nil {
		return nil, errors.Wrap(err, "client blocks")
	}
	return table, nil
}

func (e *Entry) runConfigPoll(ctx context.Context) {
	t := time.NewTicker(configPollInterval)
	defer t.Stop()
	for {
		if e.currentView() == nil {
			e.bootstrapConfig(ctx)
		} else {
			e.pollConfig(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// bootstrapConfig applies the newest configuration that the table service or any
// peer has.
func (e *Entry) bootstrapConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configCallTimeout)
	defer cancel()
	e.adoptConfig(e.newestConfig(ctx), "start")
}

// newestConfig asks the table service and all peers in parallel and returns the
// newest document that arrives in time, or nil. If it returned the first one, a
// restarted instance could use an older version than its predecessor, because reads
// of the table service can be stale.
func (e *Entry) newestConfig(ctx context.Context) *config.Document {
	addrs := e.peerAddrs()
	answers := make(chan *config.Document, len(addrs)+1)
	go func() { answers <- e.loadConfig(ctx) }()
	for _, addr := range addrs {
		go func() { answers <- e.fetchConfig(ctx, addr) }()
	}
	var best *config.Document
	for range cap(answers) {
		doc := <-answers
		if doc != nil && (best == nil || doc.Version > best.Version) {
			best = doc
		}
	}
	return best
}

// peerAddrs returns the addresses of the seeds and of all configured peers.
func (e *Entry) peerAddrs() []string {
	out := slices.Clone(e.settings.Seeds)
	if v := e.currentView(); v != nil {
		for id, in := range v.entries {
			if id != e.settings.ID {
				out = append(out, in.PeerAddr)
			}
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// pollConfig applies the stored document, in case a push was lost.
func (e *Entry) pollConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, configCallTimeout)
	defer cancel()
	e.adoptConfig(e.loadConfig(ctx), "table service")
}

// loadConfig reads the stored document. It returns nil if the read fails or there is
// no newer one.
func (e *Entry) loadConfig(ctx context.Context) *config.Document {
	doc, err := e.store.LoadNewer(ctx, e.configVersion())
	if err != nil {
		e.metrics.storeErrors.Add(1)
		e.log.Debug("configuration could not be read from the table service", "error", err)
		return nil
	}
	return doc
}

// fetchConfig asks a peer for a document that is newer than the current one. It
// returns nil if the call fails or the peer has none.
func (e *Entry) fetchConfig(ctx context.Context, addr string) *config.Document {
	asked := time.Now()
	res, err := e.callPeer(ctx, addr, &wire.Request{Call: &wire.Request_ConfigFetch{
		ConfigFetch: &wire.ConfigFetch{HaveVersion: e.configVersion()},
	}})
	if err != nil {
		e.log.Debug("configuration could not be read from a peer", "peer", addr, "error", err)
		return nil
	}
	e.updateFence(func(s *membership.Fence) { s.HandleConfirmation(asked, res.GetConfig().GetNewestIncarnation()) })
	data := res.GetConfig().GetDocument()
	if len(data) == 0 {
		return nil
	}
	doc, err := config.Decode(data)
	if err != nil {
		e.log.Warn("peer sent a configuration that cannot be read", "peer", addr, "error", err)
		return nil
	}
	return doc
}

// pushConfig sends a document to all peers in the background. A peer that misses it
// learns of the new version from heartbeats.
func (e *Entry) pushConfig(doc *config.Document) {
	data, err := config.Encode(doc)
	if err != nil {
		e.log.Error("configuration could not be encoded", "error", err)
		return
	}
	for _, peer := range doc.Deployment.EntryInstances {
		if peer.ID == e.settings.ID {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), configCallTimeout)
			defer cancel()
			_, err := e.callPeer(ctx, peer.PeerAddr, &wire.Request{Call: &wire.Request_ConfigPush{
				ConfigPush: &wire.ConfigPush{Version: doc.Version, Document: data},
			}})
			if err != nil {
				e.log.Debug("configuration could not be pushed", "peer", peer.ID, "error", err)
			}
		}()
	}
}

func (e *Entry) handleConfigFetch(from string, f *wire.ConfigFetch) *wire.Response {
	doc := e.config.Current()
	out := &wire.ConfigDocument{NewestIncarnation: e.newestIncarnationOf(from)}
	if doc != nil && doc.Version > f.GetHaveVersion() {
		data, err := config.Encode(doc)
		if err != nil {
			return &wire.Response{Error: err.Error()}
		}
		out.Version = doc.Version
		out.Document = data
	}
	return &wire.Response{Reply: &wire.Response_Config{Config: out}}
}

func (e *Entry) handleConfigPush(p *wire.ConfigPush) *wire.Response {
	doc, err := config.Decode(p.GetDocument())
	if err != nil {
		return &wire.Response{Error: err.Error()}
	}
	e.adoptConfig(doc, "push")
	return &wire.Response{Reply: &wire.Response_Config{Config: &wire.ConfigDocument{Version: e.configVersion()}}}
}
