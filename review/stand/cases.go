package main

import "time"

// Names that the operator gives.
const (
	hostName    = "ficu95.example"
	bookingPath = "/puxa403/2f"
	lookupPath  = "/cufi504/fi50/2f"
	plainGroup  = "wuno96b"
	engineGroup = "huvo11a"
)

const (
	// warmUp is how long the hosts serve before the case counts, more than contact_ms.
	warmUp = 5 * time.Second
	// engines and plains are the runners of the sheet's two services.
	engines, plains = 12, 3
)

// configure writes the configuration: the routes of the sheet's application service, and the keys of teams where there are any.
func (s *site) configure(tenants []any) {
	config := map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{"name": "r-confirm", "host": hostName, "prefix": "/puxa403/", "type": "non_idempotent", "timeout_ms": 1000,
				"target_latency_ms": 150, "priority": 2, "service": plainGroup, "max_attempts": 1, "sticky": false, "resumable": false},
			map[string]any{"name": "r-ticket", "host": hostName, "prefix": "/cufi504/", "type": "idempotent", "timeout_ms": 1000,
				"target_latency_ms": 150, "priority": 2, "service": plainGroup, "max_attempts": 2, "sticky": false, "resumable": false},
		},
		"services": []any{
			map[string]any{"name": plainGroup, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": false},
			map[string]any{"name": engineGroup, "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 64, "kv_capacity": 132765, "weights_mb": 66600, "adapter_slots": 20, "loads_per_s": 2.8,
				"models": []any{map[string]any{"name": "m0", "weights_mb": 65100, "load_time_s": 5.3, "adapters": 3000, "adapter_size_mb": 12}}}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if tenants != nil {
		config["tenants"] = tenants
	}
	s.store.put("op", "config", config)
}

// startAll starts the runners of both services and the hosts.
func (s *site) startAll(storeAddr string, f *faults, tenants []any) error {
	s.configure(tenants)
	for i := range engines {
		if _, err := newRunner(s, engineGroup, i, true, &faults{}); err != nil {
			return err
		}
	}
	for i := range plains {
		if _, err := newRunner(s, plainGroup, i, false, f); err != nil {
			return err
		}
	}
	if err := s.start(storeAddr); err != nil {
		return err
	}
	time.Sleep(warmUp)
	return nil
}
