// Package claim makes sure that requests with one idempotency key are dispatched once.
//
// A claim is a row that exists before the first dispatch; the table service lets one insert of a key through. Claims of
// one shard go through one keeper node, so that many are written in one transaction, but correctness rests on the row
// alone: two keepers of one shard at once cost writes, no second dispatch.
package claim

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"go.uber.org/zap"

	"damaskreach/internal/answer"
	"damaskreach/internal/call"
	"damaskreach/internal/gather"
	"damaskreach/internal/loop"
	"damaskreach/internal/peer"
	"damaskreach/internal/sess"
	"damaskreach/internal/table"
	"damaskreach/pkg/refuse"
	"damaskreach/pkg/verd"
)

const (
	methodBegin = "claim"
	methodEnd   = "claim-end"
	askTimeout  = 10 * time.Second
	waitLook    = 2 * time.Second // between readings of a claim that another request holds
	waitMost    = 8 * time.Second // for the outcome of the first request, before a repeat is told to come back
	retryRepeat = time.Second
	retryTable  = 2 * time.Second
	mostBody    = 64 << 10 // bytes of an answer that are kept for repeats
)

// Claim is a node's part in claims: as keeper, and as entry of requests.
// The fields are set before Register and not changed afterwards.
type Claim struct {
	Loop    *loop.Loop
	Mesh    *peer.Mesh
	Table   table.Table
	Gather  *gather.Gather
	Log     *zap.Logger
	Keepers int           // shards
	Life    time.Duration // of a claim, from its end
	// Ctx ends with the node and all work left over from requests.
	Ctx context.Context
	// Home returns the node that a key hashes to and whether it is this one.
	Home func(ctx context.Context, key string) (sess.Session, bool, error)
	// Self returns the key of this node's session row.
	Self func() string

	waits map[string]waiting // by row key; control state
}

// record is the value of a claim's row.
type record struct {
	Print   string         `json:"print"`   // fingerprint of the request
	Nonce   string         `json:"nonce"`   // tells one's own write from another's
	Session string         `json:"session"` // session row key of the entry node that dispatches it
	Ended   bool           `json:"ended"`
	At      time.Time      `json:"at"`               // of the claim, or of its end, by the clock of the node that wrote it
	Answer  *answer.Answer `json:"answer,omitempty"` // once ended
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings, integers and byte slices always encode
	}
	return value
}

func decode(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, merry.Prepend(err, "reading a claim")
	}
	return r, nil
}

// beginAsk asks for the claim of a row key.
type beginAsk struct {
	Key     string `msgpack:"key"`
	Print   string `msgpack:"print"`
	Nonce   string `msgpack:"nonce"`
	Session string `msgpack:"session"`
	Once    bool   `msgpack:"once"`
}

// beginSaid says that the request is the first with its key, or how the first one ended.
type beginSaid struct {
	Rev   int64          `msgpack:"rev"`
	Prior *answer.Answer `msgpack:"prior"`
}

type endAsk struct {
	Key    string         `msgpack:"key"`
	Rev    int64          `msgpack:"rev"`
	Print  string         `msgpack:"print"`
	Nonce  string         `msgpack:"nonce"`
	Answer *answer.Answer `msgpack:"answer"` // nil gives the key free again
}

type endSaid struct{}

// Register answers other nodes' requests for claims.
func (c *Claim) Register() {
	c.waits = map[string]waiting{}
	peer.Answer(c.Mesh, methodBegin, func(ctx context.Context, _ string, q beginAsk) (beginSaid, error) {
		return c.begin(ctx, q)
	})
	peer.Answer(c.Mesh, methodEnd, func(ctx context.Context, _ string, q endAsk) (endSaid, error) {
		return endSaid{}, c.end(ctx, q)
	})
}

// rowKey hides the tenant's key behind a hash, since keys come in any length and may be telling.
func rowKey(r call.Call) string {
	sum := sha256.Sum256([]byte(r.Tenant + "\x00" + r.Key))
	return table.PrefixClaim + hex.EncodeToString(sum[:16])
}

// keeper returns the node that keeps the shard of a row key.
func (c *Claim) keeper(ctx context.Context, key string) (sess.Session, bool, error) {
	digits := key[len(table.PrefixClaim):][:4]
	n, err := strconv.ParseUint(digits, 16, 32)
	if err != nil {
		return sess.Session{}, false, merry.Prependf(err, "finding the keeper of %q", key)
	}
	shard := int(n) % max(1, c.Keepers)
	return c.Home(ctx, "keeper/"+strconv.Itoa(shard))
}

// Begin claims the key of a request. It returns a function that ends the claim, where the request is the first with
// its key and may be dispatched; or the first one's outcome; or a refusal.
func (c *Claim) Begin(ctx context.Context, r call.Call) (end func(ctx context.Context, a *answer.Answer), prior *answer.Answer, err error) {
	q := beginAsk{Key: rowKey(r), Print: r.Fingerprint(), Nonce: rand.Text(), Session: c.Self(), Once: r.NonIdempotent}
	said, err := c.askBegin(ctx, q)
	if err != nil {
		return nil, nil, c.refusal(q, err)
	}
	if said.Prior != nil {
		return nil, said.Prior, nil
	}
	end = func(_ context.Context, a *answer.Answer) {
		c.finish(endAsk{Key: q.Key, Rev: said.Rev, Print: q.Print, Nonce: q.Nonce, Answer: a})
	}
	return end, nil, nil
}

func (c *Claim) askBegin(ctx context.Context, q beginAsk) (beginSaid, error) {
	at, local, err := c.keeper(ctx, q.Key)
	if err != nil {
		return beginSaid{}, err
	}
	if local {
		return c.begin(ctx, q)
	}
	ctxAsk, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var said beginSaid
	err = c.Mesh.Ask(ctxAsk, at.Peer, methodBegin, q, &said)
	if err == nil || isRefusal(err) {
		return said, err
	}
	// The keeper may have written the claim before it was lost. The nonce lets this node find its own row.
	return c.begin(ctx, q)
}

// refusal turns a failure to claim into a refusal that is true: this request was not dispatched. A claim that may have
// been written all the same is given free, or no later request with its key would ever be served.
func (c *Claim) refusal(q beginAsk, err error) error {
	if isRefusal(err) {
		return err
	}
	go c.finish(endAsk{Key: q.Key, Print: q.Print, Nonce: q.Nonce})
	return refuse.NewRefusal(verd.NotRun, refuse.TableDown, "the idempotency key could not be claimed: %v", err).WithRetry(retryTable)
}
