package slopes_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/peer"
	"damaskreach/internal/stand/memnet"
)

type nothing struct{}

// measureConn returns the bytes that one end of an idle connection between nodes keeps, stacks included.
func measureConn(t *testing.T, peers int) float64 {
	var each float64
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		network := memnet.NewNet(1)
		secrets := [][]byte{[]byte("a shared key of the site's nodes")}
		var meshes []*peer.Mesh
		for i := range peers {
			host := fmt.Sprintf("10.1.%d.%d", i/250, i%250+1)
			m := peer.NewMesh(host, secrets, network.Dial(host), zap.NewNop())
			peer.Answer(m, "x", func(context.Context, string, nothing) (nothing, error) { return nothing{}, nil })
			l, err := network.Listen(host + ":7000")
			if err != nil {
				t.Fatal(err)
			}
			go m.Serve(ctx, l)
			meshes = append(meshes, m)
		}
		one := peer.NewMesh("one", secrets, network.Dial("10.2.0.1"), zap.NewNop())
		synctest.Wait()
		before := memory()
		for i := range peers {
			if err := one.Ask(ctx, fmt.Sprintf("10.1.%d.%d:7000", i/250, i%250+1), "x", nothing{}, &nothing{}); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Second)
		each = (memory() - before) / float64(2*peers)
		one.Close()
		cancel()
		for _, m := range meshes {
			m.Close()
		}
	})
	return each
}

// memory returns the bytes of heap and stacks in use.
func memory() float64 {
	var s runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc + s.StackInuse)
}
