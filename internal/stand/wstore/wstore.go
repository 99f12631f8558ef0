// Package wstore is a stand-in for the rate-limited weight store that engines load models from.
package wstore

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"damaskreach/internal/stand/recrd"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"
)

const (
	defaultRate  = 3       // loads per second
	defaultSize  = 1 << 29 // bytes of a model
	defaultSpeed = 2 << 30 // bytes per second
)

// Errors of a load.
var (
	ErrLimited = merry.Sentinel("weight store: too many loads a second")
	ErrDown    = merry.Sentinel("weight store: down")
	ErrFailed  = merry.Sentinel("weight store: load failed")
)

// Store serves one load at full speed; concurrent ones share its speed.
// Its exported fields are settings, to be changed before the first load.
type Store struct {
	Speed float64                  // bytes per second of all loads together
	Size  func(model string) int64 // bytes of a model

	limit *rate.Limiter
	mu    sync.Mutex
	slow  float64
	fails int
	down  bool
	now   []*transfer // in progress
	since time.Time   // the progress of now was last settled
	log   []recrd.Record
}

type transfer struct {
	left    float64       // bytes
	changed chan struct{} // holds one signal that its speed has changed
	broken  bool
	record  int
}

// NewStore returns a store that allows 3 loads a second and takes a quarter of a second for one alone.
func NewStore() *Store {
	return &Store{
		Speed: defaultSpeed,
		Size:  func(string) int64 { return defaultSize },
		limit: rate.NewLimiter(defaultRate, defaultRate),
		slow:  1,
	}
}

// Load returns when the weights of model have arrived, or why they have not.
func (s *Store) Load(ctx context.Context, model string) error {
	t, err := s.begin(model)
	if err != nil {
		return merry.Prependf(err, "loading %s", model)
	}
	err = s.await(ctx, t)
	s.end(t, err)
	if err != nil {
		return merry.Prependf(err, "loading %s", model)
	}
	return nil
}

func (s *Store) begin(model string) (*transfer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.permit()
	now := time.Now()
	rec := recrd.Record{Model: model, Started: now}
	if err != nil {
		s.log = append(s.log, rec.WithEnd(recrd.Refused, now))
		return nil, err
	}
	s.log = append(s.log, rec)
	s.settle()
	t := &transfer{left: float64(s.Size(model)), changed: make(chan struct{}, 1), record: len(s.log) - 1}
	s.now = append(s.now, t)
	s.wake()
	return t, nil
}

func (s *Store) permit() error {
	if s.down {
		return ErrDown
	}
	if !s.limit.Allow() {
		return ErrLimited
	}
	if s.fails > 0 {
		s.fails--
		return ErrFailed
	}
	return nil
}

// await waits until every byte of t has arrived. Each change of the speed makes it reckon anew.
func (s *Store) await(ctx context.Context, t *transfer) error {
	for {
		wait, err := s.remaining(t)
		if err != nil || wait <= 0 {
			return err
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-t.changed:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

func (s *Store) remaining(t *transfer) (time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.broken {
		return 0, ErrDown
	}
	s.settle()
	if t.left < 1 {
		return 0, nil
	}
	seconds := t.left / s.speed()
	return max(time.Duration(seconds*float64(time.Second)), 1), nil
}

func (s *Store) end(t *transfer, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle()
	s.now = slices.DeleteFunc(s.now, func(other *transfer) bool { return other == t })
	s.log[t.record] = s.log[t.record].WithEnd(endOf(err), time.Now())
	s.wake()
}

func endOf(err error) string {
	switch {
	case err == nil:
		return recrd.Whole
	case errors.Is(err, ErrDown):
		return recrd.Cut
	default:
		return recrd.Cancelled
	}
}

// settle subtracts what arrived since the speed last changed.
func (s *Store) settle() {
	now := time.Now()
	if len(s.now) > 0 {
		arrived := s.speed() * now.Sub(s.since).Seconds()
		for _, t := range s.now {
			t.left -= arrived
		}
	}
	s.since = now
}

// speed returns the bytes per second of each load in progress.
func (s *Store) speed() float64 {
	return s.Speed / s.slow / float64(len(s.now))
}

func (s *Store) wake() {
	for _, t := range s.now {
		select {
		case t.changed <- struct{}{}:
		default:
		}
	}
}
