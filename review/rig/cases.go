package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	service      = "desk-app"
	consumerTime = 1500 * time.Millisecond
	configBound  = 2 * time.Second // config_ms
	revokeBound  = 5 * time.Second // revoke_ms
	boundMargin  = time.Second
	reportDelay  = 200 * time.Millisecond  // until the rig has read what a server ran
	contactTime  = 4500 * time.Millisecond // over contact_ms

	heldKey  = "k1k1k1k1k1k1k1k1k1k1"
	otherKey = "never0held0never0held" // in no desired state

	reportServers = 7
	reportBytes   = 120_000
	reportTimeout = 9 * time.Second
	darkTime      = 4500 * time.Millisecond
)

func init() {
	cases["revoke"] = revokeLastTenant
	cases["path"] = catchAllRoute
	cases["answer"] = brokenAnswer
}

// state returns a desired state with the given routes and tenants.
func state(version int, routes, tenants []map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "tenants": tenants,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

func route(name, prefix, kind string, timeout time.Duration) map[string]any {
	return map[string]any{"name": name, "host": "desk.example", "prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"latency_target_ms": 150, "priority": 2, "service": service, "max_attempts": 1, "public": false, "sticky": false, "resumable": false}
}

func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys, "priority": 1}
}

// revokeLastTenant takes the keys of the only tenant away, with the tenant.
func revokeLastTenant(r *rig, trouble bool) error {
	routes := []map[string]any{route("quote", "/quote/", "unsafe", 800*time.Millisecond)}
	if _, err := r.configure(state(7, routes, []map[string]any{tenant("huka270", heldKey)})); err != nil {
		return err
	}
	for _, id := range []string{"i-1", "i-2"} {
		if _, err := r.startServer(id, service); err != nil {
			return err
		}
	}
	if err := r.startEntries(2); err != nil {
		return err
	}
	for i, e := range r.entries {
		attempts := 0
		err := r.await("service before the change", func() bool {
			attempts++
			id := fmt.Sprintf("before-%d-%d", i, attempts)
			return r.send(e, request{id: id, method: "POST", target: "/quote/1", key: heldKey, timeout: consumerTime}).status == 200
		})
		if err != nil {
			return err
		}
	}
	if trouble {
		if _, err := r.configure(state(9, routes, []map[string]any{})); err != nil {
			return err
		}
	}
	time.Sleep(revokeBound + boundMargin)
	broken := 0
	for i, e := range r.entries {
		for j, key := range []string{heldKey, otherKey} {
			id := fmt.Sprintf("after-%d-%d", i, j)
			r.send(e, request{id: id, method: "POST", target: "/quote/2", key: key, timeout: consumerTime})
			time.Sleep(reportDelay)
			if (trouble || j > 0) && len(r.ranWith(id)) > 0 {
				broken++
			}
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d requests ran with a key that was taken away over %v ago, or that was never held", errBroken, broken, revokeBound)
	}
	return nil
}

// catchAllRoute adds a route for all paths of the host.
func catchAllRoute(r *rig, trouble bool) error {
	routes := []map[string]any{route("quote", "/quote/", "safe", 800*time.Millisecond)}
	tenants := []map[string]any{tenant("huka270", heldKey)}
	if _, err := r.configure(state(7, routes, tenants)); err != nil {
		return err
	}
	if _, err := r.startServer("i-1", service); err != nil {
		return err
	}
	if err := r.startEntries(1); err != nil {
		return err
	}
	if trouble {
		if _, err := r.configure(state(9, append(routes, route("all", "/", "safe", 800*time.Millisecond)), tenants)); err != nil {
			return err
		}
	}
	time.Sleep(configBound + boundMargin)
	for i, target := range []string{"/quote/1", "//parts/7?drill=4", "//quote/1"} {
		id := fmt.Sprintf("after-%d", i)
		r.send(r.entries[0], request{id: id, method: "GET", target: target, key: heldKey, timeout: consumerTime})
		time.Sleep(reportDelay)
		for _, run := range r.ranWith(id) {
			if sent := "GET " + target + " HTTP/1.1"; run.Line != sent {
				return fmt.Errorf("%w: the consumer sent %q and the server ran %q", errBroken, sent, run.Line)
			}
		}
	}
	return nil
}

// brokenAnswer ends a server's process while it sends a long answer without a length, in two
// ways: it leaves as planned, or it goes dark until its entry is removed and then crashes. Each
// time the service has five other servers, which stay as they are.
func brokenAnswer(r *rig, trouble bool) error {
	routes := []map[string]any{route("report", "/report/", "safe", reportTimeout)}
	if _, err := r.configure(state(7, routes, []map[string]any{tenant("huka270", heldKey)})); err != nil {
		return err
	}
	servers := map[string]*proc{}
	for i := range reportServers {
		id := fmt.Sprint("i-", i)
		p, err := r.startServer(id, service, "-size", fmt.Sprint(reportBytes), "-parts", "12", "-gap", "500ms", "-unframed")
		if err != nil {
			return err
		}
		servers[id] = p
	}
	if err := r.startEntries(1); err != nil {
		return err
	}
	time.Sleep(configBound) // until the entry instance knows all servers
	leave := func(p *proc) { r.signal(p, syscall.SIGTERM) }
	goDark := func(p *proc) {
		r.signal(p, syscall.SIGSTOP)
		time.Sleep(darkTime)
		r.signal(p, syscall.SIGKILL)
	}
	broken := 0
	for i, end := range []func(*proc){leave, goDark} {
		id := fmt.Sprint("report-", i)
		if trouble {
			go func() {
				if r.await("the run", func() bool { return len(r.ranWith(id)) > 0 }) == nil {
					end(servers[r.ranWith(id)[0].Server])
				}
			}()
		}
		a := r.send(r.entries[0], request{id: id, method: "GET", target: "/report/1", key: heldKey, timeout: reportTimeout})
		if a.status == 200 && a.complete && a.body != reportBytes {
			r.recordf("the answer to %s looks complete with %d of %d bytes", id, a.body, reportBytes)
			broken++
		}
		if !trouble && (a.status != 200 || a.body != reportBytes) {
			return fmt.Errorf("an answer without disruption is not whole: %v", a)
		}
		time.Sleep(configBound)
	}
	if broken > 0 {
		return fmt.Errorf("%w: %d of 2 answers that broke off look complete", errBroken, broken)
	}
	return nil
}
