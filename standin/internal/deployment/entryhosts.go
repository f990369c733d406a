package deployment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/samber/oops"
)

const region = "loopback"

// zones are the availability zones that entry hosts are assigned to in turn.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// startEntryHosts writes the settings file of each entry host and starts it.
func (d *Deployment) startEntryHosts() error {
	for i := range d.options.EntryHosts {
		h := &EntryHost{ID: fmt.Sprintf("entry-%d", i)}
		for _, address := range []*string{&h.CallerAddress, &h.OperatorAddress, &h.PeerAddress} {
			var err error
			if *address, err = freeAddress(); err != nil {
				return err
			}
		}
		d.EntryHosts = append(d.EntryHosts, h)
	}
	for i, h := range d.EntryHosts {
		path, err := d.writeSettings(i, h)
		if err != nil {
			return err
		}
		if h.Process, err = d.startProcess(h.ID, "tamarackstep", "run", "--settings", path); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) writeSettings(index int, h *EntryHost) (string, error) {
	store := d.PlatformAddress
	if d.options.StoreAddress != nil {
		store = d.options.StoreAddress(index, store)
	}
	var seeds []string
	for _, peer := range d.EntryHosts {
		if peer != h {
			seeds = append(seeds, fmt.Sprintf("%q", peer.PeerAddress))
		}
	}
	text := fmt.Sprintf(settingsFormat, d.options.Partitions, h.ID, region, zones[index%len(zones)],
		h.PeerAddress, h.CallerAddress, h.OperatorAddress, strings.Join(seeds, ", "), store)
	path := filepath.Join(d.options.Folder, h.ID+".toml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return "", oops.With("host", h.ID).Wrapf(err, "write settings")
	}
	return path, nil
}

const settingsFormat = `partitions = %d

[host]
name = %q
region = %q
availability_zone = %q

[listeners]
peers = %q
callers = %q
operators = %q

[peers]
seeds = [%s]

[platform]
address = %q
`
