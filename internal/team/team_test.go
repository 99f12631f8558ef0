package team_test

import (
	"testing"

	"damaskreach/internal/team"
)

func TestUnitsOfARequest(t *testing.T) {
	byTokens := team.Team{Tokens: true, Plain: 200}
	for _, c := range []struct {
		name         string
		of           team.Team
		prompt, most int
		want         float64
	}{
		{"prompt and answer count at once", byTokens, 1460, 80, 1540},
		{"a request that states no tokens", byTokens, 0, 0, 200},
		{"a limit in requests", team.Team{Plain: 200}, 1460, 80, 1},
	} {
		if got := c.of.Units(c.prompt, c.most); got != c.want {
			t.Errorf("%s: Units(%d, %d) = %v, want %v", c.name, c.prompt, c.most, got, c.want)
		}
	}
}
