package slope

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/peer"
	"damaskreach/internal/stand/memnet"
)

type nothing struct{}

// measureConn returns the bytes that one end of an idle connection between nodes keeps, stacks included.
func measureConn(b bubble, peers int) (each float64, err error) {
	b(func() { each, err = idleEnd(peers) })
	return each, err
}

// idleEnd dials a number of nodes and compares the memory before and after.
func idleEnd(peers int) (float64, error) {
	ctx, cancel := context.WithCancel(context.Background())
	network := memnet.NewNet(1)
	secrets := [][]byte{[]byte("a shared key of the site's nodes")}
	var meshes []*peer.Mesh
	defer func() {
		cancel()
		for _, m := range meshes {
			m.Close()
		}
	}()
	for i := range peers {
		m := peer.NewMesh(peerHost(i), secrets, network.Dial(peerHost(i)), zap.NewNop())
		peer.Answer(m, "x", func(context.Context, string, nothing) (nothing, error) { return nothing{}, nil })
		l, err := network.Listen(peerHost(i) + ":7000")
		if err != nil {
			return 0, err
		}
		go func() { _ = m.Serve(ctx, l) }() // ends with ctx
		meshes = append(meshes, m)
	}
	one := peer.NewMesh("one", secrets, network.Dial("10.2.0.1"), zap.NewNop())
	meshes = append(meshes, one)
	time.Sleep(time.Millisecond) // for all of them to listen
	before := memory()
	for i := range peers {
		if err := one.Ask(ctx, peerHost(i)+":7000", "x", nothing{}, &nothing{}); err != nil {
			return 0, err
		}
	}
	time.Sleep(2 * time.Second)
	return (memory() - before) / float64(2*peers), nil
}

func peerHost(i int) string {
	return fmt.Sprintf("10.1.%d.%d", i/250, i%250+1)
}

// memory returns the bytes of heap and stacks in use.
func memory() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}
