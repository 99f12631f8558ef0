package runner

import (
	"net/netip"
	"slices"

	"damaskreach/internal/fault"
	"damaskreach/internal/names"
)

// Faults returns what is wrong with the row by itself; whether its group exists is not looked at.
func (r Runner) Faults() []fault.Fault {
	faults := slices.Concat(
		names.Faults("name", r.Name),
		names.Faults("group", r.Group),
		names.Faults("centre", r.Centre),
	)
	if addr, err := netip.ParseAddrPort(r.Addr); err != nil || addr.Port() == 0 {
		faults = append(faults, fault.NewFault("addr", "%q is not an IP and port such as 10.0.0.7:8000", r.Addr))
	}
	if r.Slots < 0 {
		faults = append(faults, fault.NewFault("slots", "%d is below 0", r.Slots))
	}
	if r.Batch < 1 {
		faults = append(faults, fault.NewFault("batch", "%d is below 1", r.Batch))
	}
	return faults
}
