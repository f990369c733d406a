package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tamarackstep/tamarackstep/api/wire"
	"github.com/tamarackstep/tamarackstep/standin/internal/deployment"
)

const (
	metricsTimeout = 3 * time.Second
	usageHeader    = "entry_hosts,workers,tasks,partitions,placed_s,cpu_ms_per_s,cpu_max,rss_mb,anon_mb,read_kb_per_s,write_kb_per_s," +
		"store_requests_per_s,worker_requests_per_s,peer_requests_per_s"
	loadHeader = ",calls,failed,p50_ms,p99_ms,max_ms,events_per_s,mean_step_us"
)

func header(load bool) string {
	if load {
		return usageHeader + loadHeader
	}
	return usageHeader
}

// usage is what one entry host has used since its start, and its present memory.
type usage struct {
	cpu         time.Duration
	read, write int64              // bytes through system calls, including sockets
	rss, anon   int64              // bytes
	requests    map[string]float64 // by destination
	steps       float64            // events that the control loop applied
	stepSeconds float64            // time that it spent on them
}

func readAllUsage(d *deployment.Deployment) ([]usage, error) {
	var all []usage
	for _, h := range d.EntryHosts {
		u, err := readUsage(h)
		if err != nil {
			return nil, err
		}
		all = append(all, u)
	}
	return all, nil
}

func readUsage(h *deployment.EntryHost) (usage, error) {
	var u usage
	var err error
	if u.cpu, err = h.CPUTime(); err != nil {
		return u, err
	}
	io, err := readFields(h.PID(), "io")
	if err != nil {
		return u, err
	}
	u.read, u.write = io["rchar"], io["wchar"]
	status, err := readFields(h.PID(), "status")
	if err != nil {
		return u, err
	}
	u.rss, u.anon = status["VmRSS"]<<10, status["RssAnon"]<<10
	err = readMetrics(h, &u)
	return u, err
}

// readFields reads a file of /proc/<pid> with lines "name: number".
func readFields(pid int, file string) (map[string]int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return nil, err
	}
	values := make(map[string]int64)
	for line := range strings.Lines(string(b)) {
		name, rest, _ := strings.Cut(line, ":")
		if words := strings.Fields(rest); len(words) > 0 {
			values[name] = parseNumber(words[0])
		}
	}
	return values, nil
}

func parseNumber(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// readMetrics sums the host's requests by their destination (platform, worker or
// peer), and reads the work of its control loop.
func readMetrics(h *deployment.EntryHost, u *usage) error {
	client := http.Client{Timeout: metricsTimeout}
	answer, err := client.Get("http://" + h.OperatorAddress + wire.PathMetrics)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	u.requests = make(map[string]float64)
	lines := bufio.NewScanner(io.LimitReader(answer.Body, 1<<20))
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), "} ")
		for _, destination := range []string{"platform", "worker", "peer"} {
			if strings.HasPrefix(name, "tamarackstep_"+destination+"_requests_total{") {
				n, _ := strconv.ParseFloat(value, 64)
				u.requests[destination] += n
			}
		}
		if v, ok := strings.CutPrefix(lines.Text(), "tamarackstep_loop_step_seconds_sum "); ok {
			u.stepSeconds, _ = strconv.ParseFloat(v, 64)
		}
		if v, ok := strings.CutPrefix(lines.Text(), "tamarackstep_loop_step_seconds_count "); ok {
			u.steps, _ = strconv.ParseFloat(v, 64)
		}
	}
	return lines.Err()
}

// formatUsage returns the columns of usageHeader: means per entry host, except
// that cpu_max is the maximum and requests are sums over all hosts.
func formatUsage(z size, placed, sampleLength time.Duration, before, after []usage) string {
	seconds := sampleLength.Seconds()
	var cpu []float64
	var read, write, rss, anon float64
	sums := make(map[string]float64)
	for i := range after {
		cpu = append(cpu, (after[i].cpu-before[i].cpu).Seconds()*1000/seconds)
		read += float64(after[i].read - before[i].read)
		write += float64(after[i].write - before[i].write)
		rss += float64(after[i].rss)
		anon += float64(after[i].anon)
		for destination, n := range after[i].requests {
			sums[destination] += (n - before[i].requests[destination]) / seconds
		}
	}
	n := float64(len(after))
	total := 0.0
	for _, c := range cpu {
		total += c
	}
	const mb, kb = 1 << 20, 1 << 10
	return fmt.Sprintf("%d,%d,%d,%d,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f,%.1f", z.entryHosts, z.workers, z.tasks, z.partitions,
		placed.Seconds(), total/n, slices.Max(cpu), rss/n/mb, anon/n/mb, read/n/kb/seconds, write/n/kb/seconds,
		sums["platform"], sums["worker"], sums["peer"])
}
