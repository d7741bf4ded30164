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
