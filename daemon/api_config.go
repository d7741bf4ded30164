package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/do/v2"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/zone"
)

// authorLookupEntries is the number of newest changes among which the author of a
// version in force is looked up.
const authorLookupEntries = 200

// maxConfirmationWait bounds how long a call waits until all daemons have a version in force.
const maxConfirmationWait = time.Minute

// ChangeBody is the body of POST /v1/config/changes: a change of the configuration, either as
// operations (modes strict and merge) or as the whole content of a day (mode sheet).
type ChangeBody struct {
	ID      string      `json:"id" doc:"ULID of the caller; a repeat with the same id is settled, not run again"`
	Base    uint64      `json:"base" doc:"version that the change is based on"`
	Mode    string      `json:"mode" enum:"strict,merge,sheet"`
	Day     string      `json:"day,omitempty" doc:"local date from which it holds, 2006-01-02; empty is today"`
	By      string      `json:"by" minLength:"1" maxLength:"128"` // name of the author
	Summary string      `json:"summary,omitempty" maxLength:"1024"`
	Ops     []config.Op `json:"ops,omitempty" doc:"changes of a strict or merge change"`
	// Content is the whole content of the day in mode sheet, otherwise nil.
	Content *config.Content `json:"content,omitempty" doc:"whole content of the day, for a sheet"`
}

// ChangeResult is the answer to an accepted change. Version is the version of the
// configuration that contains the change.
type ChangeResult struct {
	Version  uint64 `json:"version"`
	NoChange bool   `json:"no_change" doc:"the content was in force already"`
	Repeated bool   `json:"repeated" doc:"the same id was accepted before"`
}

// VersionInForce describes the version of the configuration that one daemon acts on.
type VersionInForce struct {
	Daemon      string    `json:"daemon"`
	Region      string    `json:"region"`
	Version     uint64    `json:"version"`
	Since       time.Time `json:"since"` // by the clock of that daemon
	By          string    `json:"by,omitempty" doc:"who published the version, as far as this daemon remembers"`
	Ready       bool      `json:"ready"`
	LogReadable bool      `json:"log_readable"`
	Error       string    `json:"error,omitempty"` // why the daemon did not answer
}

type changeInput struct{ Body ChangeBody }
type changeOutput struct{ Body ChangeResult }
type stateOutput struct{ Body *config.State }
type historyInput struct {
	Limit int `query:"limit" minimum:"1" maximum:"2000" default:"20"`
}
type historyOutput struct{ Body []config.Entry }
type inForceInput struct {
	Version uint64 `query:"version" doc:"wait until every daemon has this version; 0 does not wait"`
	WaitMS  int64  `query:"wait_ms" minimum:"0" maximum:"60000"`
}
type inForceOutput struct {
	Body struct {
		Daemons []VersionInForce `json:"daemons"`
		Missing []string         `json:"missing" doc:"daemons that have not confirmed the version asked for"`
	}
}

// changeModes maps the values of ChangeBody.Mode to the modes of package config.
var changeModes = map[string]config.Mode{"strict": config.Strict, "merge": config.Merge, "sheet": config.Sheet}

// routeConfig registers the operations that change and show the configuration.
func (d *Daemon) routeConfig(api huma.API) {
	store := do.MustInvoke[*config.Store](d.injector)
	change := operation("change-config", http.MethodPost, "/v1/config/changes", "Publish a change, all or nothing")
	change.MaxBodyBytes = 32 << 20
	huma.Register(api, change, d.changeConfig)
	show := operation("show-config", http.MethodGet, "/v1/config", "Configuration in force on this daemon")
	huma.Register(api, show, func(context.Context, *struct{}) (*stateOutput, error) {
		if err := store.Ready(); err != nil {
			return nil, toAPIError(err)
		}
		return &stateOutput{store.Current()}, nil
	})
	history := operation("config-history", http.MethodGet, "/v1/config/history", "Accepted changes, newest first")
	huma.Register(api, history, func(_ context.Context, in *historyInput) (*historyOutput, error) {
		if err := store.Ready(); err != nil {
			return nil, toAPIError(err)
		}
		return &historyOutput{store.History(in.Limit)}, nil
	})
	inForce := operation("config-in-force", http.MethodGet, "/v1/config/in-force", "Version in force on every daemon")
	huma.Register(api, inForce, d.configInForce)
}

// changeConfig publishes a change. Errors carry the id with which the change may be repeated.
func (d *Daemon) changeConfig(ctx context.Context, in *changeInput) (*changeOutput, error) {
	b := &in.Body
	res, err := do.MustInvoke[*config.Publisher](d.injector).Submit(ctx, config.Proposal{
		ID: b.ID, Base: config.Version(b.Base), Mode: changeModes[b.Mode], Day: b.Day, Ops: b.Ops,
		Content: b.Content, By: b.By, Summary: b.Summary,
	})
	if err != nil {
		return nil, toAPIErrorWithID(err, b.ID)
	}
	return &changeOutput{ChangeResult{uint64(res.Version), res.NoChange, res.Repeated}}, nil
}

// configInForce returns the version in force on every daemon. If a version is given, it first
// waits until all other daemons have it in force, and lists those that have not as missing.
func (d *Daemon) configInForce(ctx context.Context, in *inForceInput) (*inForceOutput, error) {
	peers := do.MustInvoke[*config.Peers](d.injector)
	out := &inForceOutput{}
	if in.Version > 0 {
		wait := min(time.Duration(in.WaitMS)*time.Millisecond, maxConfirmationWait)
		waitCtx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		for _, m := range peers.AwaitVersion(waitCtx, config.Version(in.Version)) {
			out.Body.Missing = append(out.Body.Missing, m.Daemon)
		}
	}
	own := do.MustInvoke[*config.Store](d.injector).Status()
	out.Body.Daemons = append(out.Body.Daemons, VersionInForce{
		Daemon: d.settings.DaemonID, Region: string(d.settings.Region()), Version: uint64(own.Version),
		Since: own.Since, Ready: own.Ready, LogReadable: own.LogErr == nil,
	})
	if uint64(own.Version) < in.Version {
		out.Body.Missing = append(out.Body.Missing, d.settings.DaemonID)
	}
	for _, v := range peers.Versions(ctx) {
		out.Body.Daemons = append(out.Body.Daemons, peerVersionInForce(v))
	}
	d.fillInAuthors(out.Body.Daemons)
	return out, nil
}

// fillInAuthors sets By of each version that is among the newest changes.
func (d *Daemon) fillInAuthors(versions []VersionInForce) {
	authors := make(map[uint64]string)
	for _, e := range do.MustInvoke[*config.Store](d.injector).History(authorLookupEntries) {
		authors[uint64(e.Version)] = e.By
	}
	for i := range versions {
		versions[i].By = authors[versions[i].Version]
	}
}

// peerVersionInForce converts the answer of another daemon, or the error if it did not answer.
func peerVersionInForce(v config.PeerVersion) VersionInForce {
	out := VersionInForce{
		Daemon: v.Daemon, Region: string(zone.Region(v.Region)), Version: uint64(v.Version),
		Since: v.Since, Ready: v.Ready, LogReadable: v.LogReadable,
	}
	if v.Err != nil {
		out.Error = v.Err.Error()
	}
	return out
}
