// Package objdb is a stand-in for the platform's object store, with the faults the real one has.
package objdb

import (
	"context"
	"slices"
	"sync"

	"github.com/ansel1/merry/v2"

	"damaskreach/internal/object"
	"damaskreach/internal/stand/gate"
)

// DB is an object store. Its methods may be called from several goroutines.
type DB struct {
	*gate.Gate

	mu      sync.Mutex
	objects map[string][]byte
}

// NewDB returns an empty store without faults or rate limits.
func NewDB() *DB {
	return &DB{Gate: gate.NewGate(object.ErrDown, object.ErrLost), objects: map[string][]byte{}}
}

// Object reaches the store in process, without a client name.
func (d *DB) Object() object.Object {
	return d.ObjectFor("")
}

// ObjectFor reaches the store in process as a client that CutClient can cut off.
func (d *DB) ObjectFor(client string) object.Object {
	return object.Object{
		Put: func(ctx context.Context, name string, data []byte) error {
			data = slices.Clone(data) // the caller may change it before a slow store takes it in
			_, err := gate.Write(ctx, d.Gate, client, func() (struct{}, error) { return struct{}{}, d.put(name, data) })
			return err
		},
		Get: func(ctx context.Context, name string) ([]byte, error) {
			return gate.Read(ctx, d.Gate, client, func() ([]byte, error) { return d.get(name) })
		},
	}
}

func (d *DB) put(name string, data []byte) error {
	if err := object.Check(name, data); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.objects[name] = data
	return nil
}

func (d *DB) get(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, ok := d.objects[name]
	if !ok {
		return nil, merry.Appendf(object.ErrAbsent, "%q", name)
	}
	return slices.Clone(data), nil
}
