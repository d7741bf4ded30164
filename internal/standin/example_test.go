package standin_test

import (
	"context"
	"fmt"
	"net/http/httptest"

	"github.com/sassafraslb/sassafraslb/errkind"
	"github.com/sassafraslb/sassafraslb/internal/standin"
	"github.com/sassafraslb/sassafraslb/upstream"
)

// An append to a log that is down fails and leaves no record.
func Example() {
	log := standin.NewLog(standin.LogConfig{MaxRecords: 100})
	srv := httptest.NewServer(log)
	defer srv.Close()
	client := upstream.NewLogClient(upstream.ClientConfig{BaseURL: srv.URL})
	log.SetFaults(standin.LogFaults{Down: true})
	_, err := client.Append(context.Background(), "s", [][]byte{[]byte("x")})
	fmt.Println(errkind.Of(err), log.Appends("s"))
	// Output: log_unavailable 0
}
