package standin

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/sassafraslb/sassafraslb/upstream"
)

// HostList is a stand-in for the platform's host list. It answers GET /v1/hosts with
// the list as it was lag ago. PUT /v1/hosts replaces the list, PUT /v1/hosts/{id} sets
// one entry, and PUT /v1/lag sets the lag to the field lag_ms of its JSON body.
type HostList struct {
	mux     *http.ServeMux
	mu      sync.Mutex
	lag     time.Duration // age of the list in answers
	seq     uint64        // of the newest version
	history []listVersion // oldest first
}

// listVersion is the host list between two changes.
type listVersion struct {
	seq   uint64 // grows with each change; sent as the ETag
	setAt time.Time
	hosts map[string]upstream.Host
}

// NewHostList returns an empty host list that shows changes after lag.
func NewHostList(lag time.Duration) *HostList {
	h := &HostList{mux: http.NewServeMux(), lag: lag}
	h.mux.HandleFunc("GET /v1/hosts", h.handleGet)
	h.mux.HandleFunc("PUT /v1/hosts", h.handlePutAll)
	h.mux.HandleFunc("PUT /v1/hosts/{id}", h.handlePutHost)
	h.mux.HandleFunc("PUT /v1/lag", h.handleLag)
	return h
}

// ServeHTTP implements http.Handler.
func (h *HostList) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Set adds or replaces entries.
func (h *HostList) Set(hosts ...upstream.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := make(map[string]upstream.Host)
	if n := len(h.history); n > 0 {
		for id, host := range h.history[n-1].hosts {
			next[id] = host
		}
	}
	for _, host := range hosts {
		next[host.ID] = host
	}
	h.addVersion(next)
}

// addVersion makes next the newest version and drops versions that no reader can
// see any more. The caller holds h.mu.
func (h *HostList) addVersion(next map[string]upstream.Host) {
	now := time.Now()
	for len(h.history) > 1 && now.Sub(h.history[1].setAt) > h.lag {
		h.history = h.history[1:]
	}
	h.seq++
	h.history = append(h.history, listVersion{h.seq, now, next})
}

// visible returns the newest version that is at least lag old, or an empty one.
func (h *HostList) visible() listVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	latest := time.Now().Add(-h.lag)
	for i := len(h.history) - 1; i >= 0; i-- {
		if !h.history[i].setAt.After(latest) {
			return h.history[i]
		}
	}
	return listVersion{}
}

func (h *HostList) handleGet(w http.ResponseWriter, r *http.Request) {
	list := h.visible()
	etag := strconv.Quote(strconv.FormatUint(list.seq, 10))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	hosts := []upstream.Host{}
	for _, host := range list.hosts {
		hosts = append(hosts, host)
	}
	sort.Slice(hosts, func(i, j int) bool { return hosts[i].ID < hosts[j].ID })
	writeJSON(w, http.StatusOK, map[string]any{"hosts": hosts})
}

func (h *HostList) handlePutAll(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []upstream.Host `json:"hosts"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	next := make(map[string]upstream.Host, len(body.Hosts))
	for _, host := range body.Hosts {
		next[host.ID] = host
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addVersion(next)
	w.WriteHeader(http.StatusNoContent)
}

func (h *HostList) handlePutHost(w http.ResponseWriter, r *http.Request) {
	var host upstream.Host
	if err := json.NewDecoder(r.Body).Decode(&host); err != nil || host.ID != r.PathValue("id") {
		http.Error(w, "body must be a host with the id of the path", http.StatusBadRequest)
		return
	}
	h.Set(host)
	w.WriteHeader(http.StatusNoContent)
}

func (h *HostList) handleLag(w http.ResponseWriter, r *http.Request) {
	var body struct {
		LagMS int `json:"lag_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lag = time.Duration(body.LagMS) * time.Millisecond
	w.WriteHeader(http.StatusNoContent)
}
