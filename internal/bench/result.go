package bench

import (
	"math"
	"time"
)

// Result holds the figures of one policy on one trace. Times are in milliseconds.
type Result struct {
	Policy     string  `json:"policy"`
	StallMean  float64 `json:"stallMean"`
	Stall95    float64 `json:"stall95"`
	Stall99    float64 `json:"stall99"`
	Efficiency float64 `json:"efficiency"` // useful tokens over the places of all steps
	Loads      int     `json:"loads"`
	False      int     `json:"false"`   // refusals though a runner could have served in time
	Refused    int     `json:"refused"` // false ones included
	Others     int     `json:"others"`  // refused, of tenants that did not ask for too much
	Cut        int     `json:"cut"`     // answers broken off by a restart
	First95    float64 `json:"first95"`
	Gap95      float64 `json:"gap95"`
	Missed     int     `json:"missed"`  // deadlines, refusals included
	Hurried    int     `json:"hurried"` // requests with a deadline
	Asked      int     `json:"asked"`
	Whole      int     `json:"whole"`  // answered completely
	Broken     int     `json:"broken"` // rules broken; always 0
}

func millis(d time.Duration) float64 {
	return round(float64(d)/float64(time.Millisecond), 1)
}

func round(x float64, digits int) float64 {
	scale := math.Pow10(digits)
	return math.Round(x*scale) / scale
}
