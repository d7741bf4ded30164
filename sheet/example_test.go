package sheet_test

import (
	"fmt"
	"strings"

	"github.com/sassafraslb/sassafraslb/config"
	"github.com/sassafraslb/sassafraslb/sheet"
	"github.com/sassafraslb/sassafraslb/zone"
)

func Example() {
	topology, err := zone.NewTopology(map[zone.Region][]zone.Name{"lombardy": {"lom-bergamo", "lom-monza"}})
	if err != nil {
		panic(err)
	}
	opts := sheet.Options{Day: "2026-12-04", Topology: topology}
	text := "kind;day;team;region;cpu;memory;count\nteam;04/12/2026;stock;lombardy;1,5;%s;\nend;;;;;;1\n"

	_, err = sheet.Parse(strings.NewReader(fmt.Sprintf(text, "4 kg")), opts)
	if faults, ok := sheet.FaultsOf(err); ok {
		fmt.Println(faults)
	}
	s, err := sheet.Parse(strings.NewReader(fmt.Sprintf(text, "4 GiB")), opts)
	if err != nil {
		panic(err)
	}
	fmt.Print(sheet.Diff(s, &config.State{}))
	// Output:
	// row 2, column F (memory): found "4 kg", allowed: a size above 0 with unit MiB, GiB, TiB, MB, GB or TB, such as 512 MiB or 1,5 GiB
	// changes for 2026-12-04 against version 0: 1
	// add    team stock: region=lombardy quota cpu=1500m mem=4096MiB acc=0 weight=1
}
