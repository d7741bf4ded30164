package daemon

import (
	"reflect"
	"testing"

	"github.com/sassafraslb/sassafraslb/settings"
)

// Guards against a field of settings.Requests that has no effect because requestConfig does not
// pass it on. The test changes one field after another and expects another request.Config.
func TestRequestSettingsArePassedOn(t *testing.T) {
	settings := settings.Default().Requests
	before := requestConfig(&settings)
	v := reflect.ValueOf(&settings).Elem()
	for i := range v.NumField() {
		f := v.Field(i)
		old := reflect.ValueOf(f.Interface())
		if f.CanFloat() {
			f.SetFloat(f.Float() / 2)
		} else {
			f.SetInt(f.Int() + 1)
		}
		if reflect.DeepEqual(before, requestConfig(&settings)) {
			t.Errorf("requests.%s has no effect", v.Type().Field(i).Tag.Get("json"))
		}
		f.Set(old)
	}
}

// Guards against a setting of 0 that has the effect of the default, because the packages replace
// a 0 in their configuration by the default.
func TestZeroSettingsStayZero(t *testing.T) {
	settings := settings.Default()
	settings.Requests.RetryBudget, settings.Requests.CrossRegionWait, settings.Tasks.LearnedMargin = 0, 0, 0
	cfg := requestConfig(&settings.Requests)
	if cfg.RetryRatio == 0 || cfg.RetryRatio > 1e-9 || cfg.RetryBurst == 0 || cfg.RetryBurst >= 1 {
		t.Errorf("retry budget of 0: got share %g and burst %g, want tiny values other than 0", cfg.RetryRatio, cfg.RetryBurst)
	}
	if cfg.CrossRegionWait != 1 {
		t.Errorf("cross-region wait of 0: got %v, want 1ns", cfg.CrossRegionWait)
	}
	if m := nonZero(settings.Tasks.LearnedMargin); m == 0 || 1+m != 1 {
		t.Errorf("margin of 0: got %g, want a value other than 0 that adds nothing", m)
	}
	if m := nonZero(0.15); m != 0.15 {
		t.Errorf("margin of 0.15: got %g, want it unchanged", m)
	}
}
