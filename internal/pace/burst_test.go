package pace_test

import (
	"testing"
	"time"

	"damaskreach/internal/pace"
)

const (
	crowd = 25 * time.Millisecond // to read a prompt of the users' sheets
	space = 190 * time.Millisecond
	gap   = 33 * time.Millisecond
)

// send sends prompts one after the other as soon as each may go, for a while, and returns how long they took to read in all.
func send(p *pace.Pace, now *time.Time, span time.Duration) (read time.Duration) {
	for end := now.Add(span); ; {
		*now = now.Add(p.Wait(*now, crowd, space, gap))
		if !now.Before(end) {
			return read
		}
		p.Send(*now, crowd, gap)
		read += crowd
	}
}

// Hosts come back and everybody with them: forty prompts at once at one engine, a second of reading. Streams get their event between two
// readings; more rest than that would make requests late that the engine could read in time.
func TestBurstIsReadWithoutRest(t *testing.T) {
	var p pace.Pace
	begun := time.Unix(100, 0)
	now := begun
	const prompts = 40
	for range prompts {
		now = now.Add(p.Wait(now, crowd, space, gap))
		p.Send(now, crowd, gap)
	}
	ahead := (prompts - 1) * crowd
	readings := ahead/space + 1
	if got, most := now.Sub(begun), ahead+readings*gap; got > most {
		t.Errorf("the last of %d prompts got its turn after %v, want at most %v: the reading of the others and the time for an event between readings", prompts, got, most)
	}
}

// Half of the engines are gone for good and the others are asked for twice what they can read, second after second. Read without rest,
// streams get one event in a reading and do not end before their callers leave.
func TestEngineThatIsFullForLongRests(t *testing.T) {
	var p pace.Pace
	now := time.Unix(100, 0)
	send(&p, &now, 5*time.Second)
	span, rest := 10*time.Second, 0.35
	got := send(&p, &now, span)
	if most := time.Duration(float64(span)/(1+rest)) + space; got > most {
		t.Errorf("read in %v = %v, want at most %v: a third of the time that reading takes is rest, and one reading more may begin", span, got, most)
	}
}

// The crowd is gone. An engine that was full a while ago is not held back any more.
func TestRestEndsWithTheCrowd(t *testing.T) {
	var p pace.Pace
	now := time.Unix(100, 0)
	send(&p, &now, 10*time.Second)
	now = now.Add(5 * time.Second)
	if got, want := send(&p, &now, time.Second), time.Second*8/10; got < want {
		t.Errorf("read in a second after five of rest = %v, want at least %v", got, want)
	}
}
