package daemon

import (
	"net/http"
	"sync"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/samber/do/v2"
)

// apiVersion is the version of the HTTP interface in its OpenAPI description.
const apiVersion = "1.0.0"

// useAPIErrorInHuma makes huma report its own errors as apiError. The hook is global in huma.
var useAPIErrorInHuma = sync.OnceFunc(func() { huma.NewError = humaError })

// handler returns the HTTP interface for callers, operators and the balancer.
func (d *Daemon) handler() http.Handler {
	useAPIErrorInHuma()
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("sassafraslb", apiVersion))
	d.routeRequests(api)
	d.routeJobs(api)
	d.routeConfig(api)
	d.routeCell(api)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", d.serveReady)
	registry := do.MustInvoke[*prometheus.Registry](d.injector)
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	return mux
}

// operation returns the description of an HTTP operation; id and summary appear in OpenAPI.
func operation(id, method, path, summary string) huma.Operation {
	return huma.Operation{OperationID: id, Method: method, Path: path, Summary: summary}
}
