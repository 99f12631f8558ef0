// Package site puts nodes and stand-ins together in one process over an in-memory network.
package site

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"damaskreach/internal/action"
	"damaskreach/internal/adapt"
	"damaskreach/internal/conf"
	"damaskreach/internal/group"
	"damaskreach/internal/node"
	"damaskreach/internal/rows"
	"damaskreach/internal/runner"
	"damaskreach/internal/stand/engsim"
	"damaskreach/internal/stand/hostdb"
	"damaskreach/internal/stand/memnet"
	"damaskreach/internal/stand/objdb"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/rowdb"
	"damaskreach/internal/table"
	"damaskreach/internal/tenant"
)

// Names and keys of what a site serves.
const (
	Name    = "site"
	Tenant  = "parish"
	APIKey  = "parish-key"
	Writers = "writers"  // engine group
	Plain   = "bookings" // group of plain services
)

const plainBatch = 64 // requests that a plain service takes at once

// Site is a small fleet: the table service, engines and nodes. Its exported fields are settings until Start,
// but for the stand-ins, whose faults may be set at any time.
type Site struct {
	Net      *memnet.Net
	DB       *rowdb.DB
	Hosts    *hostdb.DB
	Objects  *objdb.DB
	Engines  []*engsim.Engine
	Plains   []*plain.Service
	LoadRate float64 // loads a second that the weight store allows; 0 means the usual rate
	Log      *zap.Logger
	Conf     conf.Conf // settings common to all nodes
	// Prepare changes a node before it runs; nil changes nothing.
	Prepare func(n *node.Node)
	// Spec changes a runner's row before it is written; nil changes nothing.
	Spec func(r runner.Runner) runner.Runner

	mu      sync.Mutex
	nodes   map[int]*running
	lives   map[int]int // how often each node was started
	journal journal
	loads   atomic.Int64 // calls of Load
}

type running struct {
	node    *node.Node
	process string // names this life of the node
	cancel  context.CancelFunc
	done    chan struct{}
}

// NewSite returns a site with a number of engines; seed fixes the network's latencies.
func NewSite(seed int64, engines int) *Site {
	s := &Site{
		Net:     memnet.NewNet(seed),
		DB:      rowdb.NewDB(),
		Hosts:   hostdb.NewDB(),
		Objects: objdb.NewDB(),
		Log:     zap.NewNop(),
		Conf:    conf.Default(),
		nodes:   map[int]*running{},
		lives:   map[int]int{},
	}
	for range engines {
		s.Engines = append(s.Engines, engsim.NewEngine())
	}
	return s
}

// Host returns the address of the host of node i.
func Host(i int) string {
	return fmt.Sprintf("10.0.0.%d", i+1)
}

// EngineHost returns the address of the host of engine i.
func EngineHost(i int) string {
	return fmt.Sprintf("10.0.1.%d", i+1)
}

// PlainHost returns the address of the host of plain service i.
func PlainHost(i int) string {
	return fmt.Sprintf("10.0.3.%d", i+1)
}

// PlainName returns the name of the runner that plain service i is.
func PlainName(i int) string {
	return fmt.Sprintf("booking-%d", i)
}

// RunnerName returns the name of the runner that engine i is.
func RunnerName(i int) string {
	return fmt.Sprintf("runner-%d", i)
}

// AdapterName returns the name of adapter i, which has the version "v1".
func AdapterName(i int) string {
	return fmt.Sprintf("adapter-%d", i)
}

// Start runs the engines and writes a table with a number of adapters. The engines end with ctx.
func (s *Site) Start(ctx context.Context, adapters int) error {
	for i, e := range s.Engines {
		listen := func() (net.Listener, error) { return s.Net.Listen(EngineHost(i) + ":80") }
		go func() {
			if err := e.Run(ctx, listen); err != nil && ctx.Err() == nil {
				s.Log.Error("an engine ended", zap.Error(err))
			}
		}()
	}
	for i, p := range s.Plains {
		listen := func() (net.Listener, error) { return s.Net.Listen(PlainHost(i) + ":80") }
		go func() {
			if err := p.Run(ctx, listen); err != nil && ctx.Err() == nil {
				s.Log.Error("a plain service ended", zap.Error(err))
			}
		}()
	}
	_, err := s.DB.Table().Write(ctx, s.Rows(adapters)...)
	return err
}

// Rows returns the configuration of the site with a number of adapters.
func (s *Site) Rows(adapters int) []rows.Row {
	sum := sha256.Sum256([]byte(APIKey))
	all := []rows.Row{
		Row("tenant", Tenant, tenant.Tenant{Name: Tenant, Weight: 1, Keys: []string{hex.EncodeToString(sum[:])}}),
		Row("group", Writers, group.Group{Name: Writers, Base: "base", Store: "weights", Rate: s.LoadRate}),
	}
	for i, e := range s.Engines {
		r := runner.Runner{
			Name: RunnerName(i), Group: Writers, Addr: EngineHost(i) + ":80", Centre: "centre-1",
			Slots: e.Slots, Batch: e.Batch, Fences: e.Fences, Resumes: true,
		}
		if s.Spec != nil {
			r = s.Spec(r)
		}
		all = append(all, Row("runner", r.Name, r))
	}
	if len(s.Plains) > 0 {
		all = append(all, Row("group", Plain, group.Group{Name: Plain, Plain: true}))
	}
	for i := range s.Plains {
		r := runner.Runner{Name: PlainName(i), Group: Plain, Addr: PlainHost(i) + ":80", Centre: "centre-1", Batch: plainBatch}
		all = append(all, Row("runner", r.Name, r))
	}
	for i := range adapters {
		name := AdapterName(i)
		all = append(all, Row("adapter", name, s.Adapter(name)))
	}
	return all
}

// Adapter returns an adapter of the site's tenant with the version "v1".
func (s *Site) Adapter(name string) adapt.Adapter {
	return adapt.Adapter{Name: name, Tenant: Tenant, Group: Writers, Versions: map[string]int{"v1": 1}}
}

// Row returns a new configuration row.
func Row(kind, name string, value any) rows.Row {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err) // rows are structs of plain fields
	}
	return rows.Row{Key: table.PrefixConf + kind + "/" + name, Value: text}
}

// StartNode runs node i until StopNode, KillNode, a finished drain or the end of ctx.
func (s *Site) StartNode(ctx context.Context, i int) *node.Node {
	host := Host(i)
	c := s.Conf
	c.Node = fmt.Sprintf("node-%d", i)
	c.Site = Name
	c.Centre = fmt.Sprintf("centre-%d", i%3+1)
	c.Peer, c.HTTP, c.Admin = host+":7000", host+":8000", host+":9000"
	c.Secrets = []string{"a shared key of the site's nodes"}
	n := node.NewNode(c, s.Net.Dial(host), s.Net.Listen, s.Log.With(zap.String("node", c.Node)))
	n.Table = s.DB.TableFor(c.Node)
	n.Hosts = s.Hosts.HostsFor(c.Node)
	n.Objects = s.Objects.ObjectFor(c.Node)
	if s.Prepare != nil {
		s.Prepare(n)
	}
	s.run(ctx, i, n)
	return n
}

func (s *Site) run(ctx context.Context, i int, n *node.Node) {
	ctx, cancel := context.WithCancel(ctx)
	r := &running{node: n, cancel: cancel, done: make(chan struct{})}
	s.mu.Lock()
	s.lives[i]++
	r.process = fmt.Sprintf("%s#%d", n.Conf.Node, s.lives[i])
	s.nodes[i] = r
	s.mu.Unlock()
	s.watch(n, r.process)
	s.Note(action.Action{Kind: action.Join, Process: r.process})
	go func() {
		defer close(r.done)
		defer cancel()
		err := n.Run(ctx)
		if err != nil {
			s.Log.Error("a node ended with a fault", zap.Error(err))
		}
		if err == nil && ctx.Err() == nil {
			s.Note(action.Action{Kind: action.Exit, Process: r.process})
		}
		s.Note(action.Action{Kind: action.Part, Process: r.process})
	}()
	go s.follow(r)
}

// Node returns node i, which must have been started.
func (s *Site) Node(i int) *node.Node {
	return s.running(i).node
}

// Process returns the name under which the present life of node i is recorded.
func (s *Site) Process(i int) string {
	return s.running(i).process
}

func (s *Site) running(i int) *running {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i]
}

// Up reports whether node i runs.
func (s *Site) Up(i int) bool {
	r := s.running(i)
	if r == nil {
		return false
	}
	select {
	case <-r.done:
		return false
	default:
		return true
	}
}

// KillNode ends node i without any warning, its connections included.
func (s *Site) KillNode(i int) {
	r := s.running(i)
	s.Note(action.Action{Kind: action.Part, Process: r.process})
	s.Net.Kill(Host(i))
	r.cancel()
	<-r.done
}

// Wait returns when node i has ended.
func (s *Site) Wait(i int) {
	<-s.running(i).done
}
