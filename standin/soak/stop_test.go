package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestStopBesideStalledStore guards against a process that outlives its grace period, or
// breaks off a request, because the store does not answer when the signal comes.
func TestStopBesideStalledStore(t *testing.T) {
	t.Parallel()
	cluster, err := NewCluster(Size{Hosts: 1, Workers: 1}, buildProgram(t), logFolder(t, "stop"))
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	h := cluster.hosts[0]
	submit := func(id string) int {
		request, err := http.NewRequest(http.MethodPost, "http://"+h.callerAddress+jobsPathPrefix+id, strings.NewReader(`{"Steps":[{"Count":1,"Cpu":100,"MemMb":1}]}`))
		if err != nil {
			t.Error(err)
			return 0
		}
		request.Host = jobsHost
		request.Header.Set("X-Tamarackstep-Deadline-Ms", "20000")
		answer, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0
		}
		_ = answer.Body.Close()
		return answer.StatusCode
	}
	for began := time.Now(); submit("00000000000000a1") != http.StatusOK; time.Sleep(100 * time.Millisecond) {
		if time.Since(began) > settleTimeout {
			t.Fatal("the host accepts no job")
		}
	}
	h.storeProxy.SetFault(LinkRepliesStalled)
	status := make(chan int, 1)
	go func() { status <- submit("00000000000000a2") }()
	time.Sleep(100 * time.Millisecond) // the job is on its way to the store
	if err := h.process.Terminate(); err != nil {
		t.Fatal(err)
	}
	if err := h.process.Wait(stopGracePeriod); err != nil {
		t.Error(err)
	}
	if got := <-status; got != http.StatusGatewayTimeout && got != http.StatusServiceUnavailable {
		t.Errorf("the request in progress was answered with %d, want %d or %d", got, http.StatusGatewayTimeout, http.StatusServiceUnavailable)
	}
}
