package daemon

import (
	"reflect"
	"testing"

	"github.com/sassafraslb/sassafraslb/settings"
)

// Guards against a field of settings.Requests that the daemon does not pass on: each one changes the configuration.
func TestRequestSettingsArePassedOn(t *testing.T) {
	set := settings.Default().Requests
	before := requestLimits(&set)
	v := reflect.ValueOf(&set).Elem()
	for i := range v.NumField() {
		f := v.Field(i)
		old := reflect.ValueOf(f.Interface())
		if f.CanFloat() {
			f.SetFloat(f.Float() / 2)
		} else {
			f.SetInt(f.Int() + 1)
		}
		if reflect.DeepEqual(before, requestLimits(&set)) {
			t.Errorf("requests.%s has no effect", v.Type().Field(i).Tag.Get("json"))
		}
		f.Set(old)
	}
}

// Guards against a setting of 0 that a package replaces by its default.
func TestZeroSettingsStayZero(t *testing.T) {
	set := settings.Default()
	set.Requests.RetryBudget, set.Requests.CrossRegionWait, set.Tasks.Margin = 0, 0, 0
	cfg := requestLimits(&set.Requests)
	if cfg.RetryRatio == 0 || cfg.RetryRatio > 1e-9 || cfg.RetryBurst == 0 || cfg.RetryBurst >= 1 {
		t.Errorf("retry budget of 0: got share %g and burst %g, want tiny values other than 0", cfg.RetryRatio, cfg.RetryBurst)
	}
	if cfg.CrossRegionWait != 1 {
		t.Errorf("cross-region wait of 0: got %v, want 1ns", cfg.CrossRegionWait)
	}
	if m := nonZero(set.Tasks.Margin); m == 0 || 1+m != 1 {
		t.Errorf("margin of 0: got %g, want a value other than 0 that adds nothing", m)
	}
	if m := nonZero(0.15); m != 0.15 {
		t.Errorf("margin of 0.15: got %g", m)
	}
}
