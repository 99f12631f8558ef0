// Package demo runs a small fleet in one process, sends it a site's traffic with faults on the way, and checks every answer.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"
	"go.uber.org/zap"

	"damaskreach/internal/judge"
	"damaskreach/internal/stand/plain"
	"damaskreach/internal/stand/recrd"
	"damaskreach/internal/stand/site"
	"damaskreach/pkg/client"
)

const (
	nodes    = 6
	engines  = 12
	plains   = 3
	adapters = 300
	callers  = 24
	limit    = 25 * time.Second // for all requests

	drainNode   = 5 // drained after a third of the requests
	crashEngine = 0 // crashed after half of them
	exitOK      = 0
	exitBreach  = 1
	exitUsage   = 2
	settleTime  = 20 * time.Second // for the fleet to come up
	settlePoll  = 50 * time.Millisecond
	drainTime   = 2 * time.Second
	loadRate    = 30 // loads a second, ten times a real store's, so that the demo ends soon
	entriesLife = time.Second
)

type options struct {
	Seed     int64  `long:"seed" default:"1" description:"seed of the traffic"`
	Requests int    `long:"requests" default:"600" description:"how many requests to send"`
	Site     string `long:"site" default:"kingston" choice:"kingston" choice:"almaty" description:"whose traffic to send"`
	Verbose  bool   `long:"verbose" description:"show the nodes' logs"`
}

// Demo is one run.
type Demo struct {
	options options
	site    *site.Site
	judge   *judge.Judge
	traffic *traffic
	client  *client.Client
	out     io.Writer

	mu     sync.Mutex
	took   []time.Duration // times to whole answers
	slow   string          // id of the slowest request
	most   time.Duration   // its time
	stages []string        // what was done on the way
}

// Run runs the demo with command-line arguments args and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	var o options
	parser := flags.NewNamedParser("damaskdemo", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "damaskdemo runs six nodes and fifteen upstreams in one process, drains a node and crashes an engine on the way,\n" +
		"and exits with 1 if any answer was wrong, lost or doubled, or if nobody can tell why a request was refused or an adapter unloaded."
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		panic(err) // the options above are a constant of the program
	}
	var flagErr *flags.Error
	_, err := parser.ParseArgs(args)
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Fprintln(out, err)
		return exitOK
	}
	if err != nil || o.Requests < 1 {
		fmt.Fprintln(errOut, "damaskdemo:", err, "; --requests must be at least 1")
		return exitUsage
	}
	d := &Demo{options: o, judge: judge.NewJudge(), traffic: newTraffic(o), out: out}
	breaches, err := d.run()
	if err != nil {
		fmt.Fprintln(errOut, "damaskdemo:", err)
		return exitBreach
	}
	if len(breaches) > 0 {
		return exitBreach
	}
	return exitOK
}

func (d *Demo) run() ([]string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begin := time.Now()
	if err := d.start(ctx); err != nil {
		return nil, err
	}
	sendCtx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	d.send(sendCtx)
	d.site.Wait(drainNode)
	breaches := d.judge.Breaches(d.records())
	took := time.Since(begin)
	unexplained := d.explain(ctx)
	d.report(ctx, breaches, unexplained, took)
	return append(breaches, unexplained...), nil
}

func (d *Demo) start(ctx context.Context) error {
	d.site = site.NewSite(d.options.Seed, engines)
	for range plains {
		d.site.Plains = append(d.site.Plains, plain.NewService())
	}
	d.site.LoadRate = loadRate
	d.site.Conf.Drain = drainTime
	d.site.Conf.EntriesLife = entriesLife
	if d.options.Verbose {
		log, err := zap.NewDevelopment()
		if err != nil {
			return merry.Prepend(err, "opening the log")
		}
		d.site.Log = log
	}
	if err := d.site.Start(ctx, adapters); err != nil {
		return err
	}
	for i := range nodes {
		d.site.StartNode(ctx, i)
	}
	d.client = client.NewClient(site.APIKey, firstEntries(), d.site.Net.Dial(site.CallerHost))
	return d.settle(ctx)
}

// firstEntries returns the addresses that callers know without asking.
func firstEntries() []string {
	var all []string
	for i := range nodes {
		all = append(all, site.Host(i)+":8000")
	}
	return all
}

// settle waits until every runner has an owner.
func (d *Demo) settle(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for {
		owned := 0
		for i := range nodes {
			owned += len(d.site.Node(i).Runners())
		}
		if owned == engines+plains {
			return nil
		}
		select {
		case <-ctx.Done():
			return merry.Errorf("only %d of %d runners have an owner after %s", owned, engines+plains, settleTime)
		case <-time.After(settlePoll):
		}
	}
}

// send runs the callers until every request has its answer, with the faults on the way.
func (d *Demo) send(ctx context.Context) {
	numbers := make(chan int)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for n := range numbers {
				d.ask(ctx, d.traffic.next(n))
			}
		})
	}
	for n := range d.options.Requests {
		d.disturb(n)
		numbers <- n
	}
	close(numbers)
	group.Wait()
	d.disturb(d.options.Requests)
}

func (d *Demo) disturb(n int) {
	switch n {
	case d.options.Requests / 3:
		d.site.Node(drainNode).Drain()
		d.stages = append(d.stages, fmt.Sprintf("node %d was drained after %d requests", drainNode, n))
	case d.options.Requests / 2:
		d.site.Engines[crashEngine].Crash()
		d.stages = append(d.stages, fmt.Sprintf("%s crashed after %d requests", site.RunnerName(crashEngine), n))
	}
}

// records returns what every upstream executed.
func (d *Demo) records() []recrd.Record {
	var all []recrd.Record
	for _, e := range d.site.Engines {
		all = append(all, e.Records()...)
	}
	for _, p := range d.site.Plains {
		all = append(all, p.Records()...)
	}
	return all
}

// pick returns a seeded random source for one request, the same on every run.
func pick(seed int64, n int) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(seed), uint64(n)))
}
