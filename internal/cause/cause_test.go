package cause_test

import (
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"damaskreach/internal/cause"
	"damaskreach/internal/sight"
)

// A connection breaks. An upstream that has ended is to blame whatever this host's network does, as long as somebody sees that; one that goes on never is, or sound
// requests are refused for breaks that nothing of theirs has caused.
func TestUpstreamIsToBlameIfItHasEnded(t *testing.T) {
	for _, c := range []struct {
		name           string
		cut, upstream  bool // whether this host reaches no upstream now, and whether it holds the upstream responsible
		first, second  sight.Sight
		told           sight.Sight
		want, wantGone bool
	}{
		{"ended", false, true, sight.Gone, sight.Gone, sight.Unknown, true, true},
		{"ended, host was cut off meanwhile", false, false, sight.Gone, sight.Gone, sight.Gone, true, true},
		{"ended, host is cut off", true, false, sight.Unknown, sight.Unknown, sight.Gone, true, true},
		{"ceases to listen late", false, true, sight.Listens, sight.Gone, sight.Unknown, true, false},
		{"goes on", false, true, sight.Listens, sight.Listens, sight.Unknown, false, false},
		{"goes on, host is cut off", true, false, sight.Unknown, sight.Unknown, sight.Listens, false, false},
		{"goes on, dials of this host are refused", true, false, sight.Gone, sight.Gone, sight.Listens, false, false},
		{"goes on, dials of this host alone are refused", false, true, sight.Gone, sight.Gone, sight.Listens, false, false},
		{"goes on, this host lacks a link to it", false, true, sight.Unknown, sight.Unknown, sight.Listens, false, false},
		{"silent for all, others are heard", false, true, sight.Unknown, sight.Unknown, sight.Unknown, true, false},
		{"ends, nobody else tells, host is cut off", true, false, sight.Gone, sight.Gone, sight.Unknown, false, true},
		{"silent for all, host is cut off", true, false, sight.Unknown, sight.Unknown, sight.Unknown, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				looks := 0
				j := &cause.Cause{
					Look: func(string) sight.Sight {
						if looks++; looks == 1 {
							return c.first
						}
						return c.second
					},
					Ask:      func(string) sight.Sight { return c.told },
					Cut:      func() bool { return c.cut },
					Upstream: func(string, time.Time, time.Time, bool) bool { return c.upstream },
					Log:      zap.NewNop(),
				}
				if got := j.IsToBlame("a:1", time.Now(), time.Now(), false); got != c.want {
					t.Errorf("IsToBlame() = %v, want %v", got, c.want)
				}
				looks = 0
				if got := j.Gone("a:1"); got != c.wantGone {
					t.Errorf("Gone() = %v, want %v", got, c.wantGone)
				}
			})
		})
	}
}
