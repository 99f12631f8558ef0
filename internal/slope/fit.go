package slope

import (
	"fmt"
	"math"
	"slices"
)

// line is a straight line through measured points.
type line struct {
	base, slope float64
}

func (l line) at(x float64) float64 {
	return l.base + l.slope*x
}

// fit returns the line with the least squares of relative errors, so that the small sizes count as much as the large ones.
func fit(xs, ys []float64) line {
	var w, wx, wy, wxx, wxy float64
	for i, x := range xs {
		k := 1 / max(ys[i]*ys[i], 1e-12)
		w, wx, wy, wxx, wxy = w+k, wx+k*x, wy+k*ys[i], wxx+k*x*x, wxy+k*x*ys[i]
	}
	slope := (w*wxy - wx*wy) / (w*wxx - wx*wx)
	return line{base: (wy - slope*wx) / w, slope: slope}
}

// plane is y = base + a*u + b*v.
type plane struct {
	base, a, b float64
}

func (p plane) at(u, v float64) float64 {
	return p.base + p.a*u + p.b*v
}

// fitPlane returns the plane of least squares by Gauss elimination.
func fitPlane(us, vs, ys []float64) plane {
	var m [3][4]float64
	for i := range ys {
		row := [4]float64{1, us[i], vs[i], ys[i]}
		for r := range 3 {
			for c := range 4 {
				m[r][c] += row[r] * row[c]
			}
		}
	}
	for i := range 3 {
		for r := range 3 {
			if r == i {
				continue
			}
			factor := m[r][i] / m[i][i]
			for c := range 4 {
				m[r][c] -= factor * m[i][c]
			}
		}
	}
	return plane{base: m[0][3] / m[0][0], a: m[1][3] / m[1][1], b: m[2][3] / m[2][2]}
}

// rounds is how often each figure is measured. The lowest is used, since other work on the machine only adds; how far the
// middle one lies above it is the noise that is stated.
const rounds = 5

// sample is a figure measured several times.
type sample struct {
	low, noise float64
}

func measure(once func() float64) sample {
	var all []float64
	for range rounds {
		all = append(all, once())
	}
	slices.Sort(all)
	return sample{low: all[0], noise: (all[len(all)/2] - all[0]) / math.Max(math.Abs(all[0]), 1e-12)}
}

// amount writes a figure with a sensible number of digits.
func amount(x float64, unit string) string {
	switch {
	case math.Abs(x) >= 100:
		return fmt.Sprintf("%.0f %s", x, unit)
	case math.Abs(x) >= 1:
		return fmt.Sprintf("%.1f %s", x, unit)
	}
	return fmt.Sprintf("%.3f %s", x, unit)
}
