package request_test

import (
	"fmt"

	"github.com/oklog/ulid/v2"

	"github.com/sassafraslb/sassafraslb/contract"
	"github.com/sassafraslb/sassafraslb/request"
)

// The recorder of a non-repeatable request is the owner of the id's shard in the
// home region of the customer.
func ExampleShard() {
	id := ulid.MustParse("01M8ZRQ089NRMHBC0NM8TGRV14")
	fmt.Println(request.Quote.Repeatable(), contract.IDsKey("lombardy", request.Shard(id, 4)))
	// Output: false ids/lombardy/3
}
