package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["uploads"] = playUploads }

const (
	// uploadConsumers is less than one second of a burst on the site: 23.8 bookings a second, 1.7 times as many in a burst.
	uploadConsumers = 32
	// uploadBytes is max_body_bytes of the configuration.
	uploadBytes = 4194304
	// linkBytesPerSecond is that of a machine's link, 1,000 Mbit/s, which the consumers share.
	linkBytesPerSecond = 125e6
	uploadRounds       = 3
)

// playUploads lets consumers send large bodies, all at once or, without trouble, one after the other. The rule counts
// processes that end three times, on two machines at least.
func playUploads(p *play) (verdict, error) {
	d, err := newDepot(p, "/orders/", "canas", "bagaces")
	if err != nil {
		return verdict{}, err
	}
	defer d.close()
	machines := make([]*daemon, 2)
	for i := range machines {
		if machines[i], err = d.startDaemon(); err != nil {
			return verdict{}, err
		}
	}
	p.sleep(time.Second)
	ends := make([]int, len(machines))
	for round := range uploadRounds {
		for i, one := range machines {
			p.record.add("round %d at %s", round+1, one.name)
			if !p.uploadAll(one) {
				continue
			}
			ends[i]++
			p.sleep(300 * time.Millisecond)
			if err := one.start(p); err != nil {
				return verdict{}, err
			}
		}
	}
	return verdict{
		broken: min(ends[0], ends[1]) >= uploadRounds,
		text:   fmt.Sprintf("the processes of two machines exceeded memory_mb and ended %d and %d times", ends[0], ends[1]),
	}, nil
}

// uploadAll sends the bodies of one round and reports whether the process was killed for its memory.
func (p *play) uploadAll(one *daemon) (killed bool) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		var group sync.WaitGroup
		var lost atomic.Int64
		for n := range uploadConsumers {
			send := func(rate float64) {
				a := p.upload(one, fmt.Sprintf("f0%06x", n), rate)
				p.record.add("consumer's request f0%06x, %d bytes: %s", n, uploadBytes, a)
				if a.status == 0 {
					lost.Add(1)
				}
			}
			if !p.trouble {
				send(linkBytesPerSecond)
				continue
			}
			group.Go(func() { send(linkBytesPerSecond / uploadConsumers) })
		}
		group.Wait()
		p.record.add("%s: %d of %d requests were cut without an answer", one.name, lost.Load(), uploadConsumers)
	}()
	peak, killed := p.watchMemory(one, done)
	<-done
	p.record.add("%s: highest memory %.0f MB", one.name, peak)
	return killed
}

// anonymousMB returns the memory of a process without the pages of its program file.
func anonymousMB(pid int) float64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "RssAnon:"); found {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// watchMemory kills a process that exceeds its memory, as the platform does, and returns its highest use.
func (p *play) watchMemory(one *daemon, done <-chan struct{}) (peak float64, killed bool) {
	for {
		used := anonymousMB(one.process.Process.Pid)
		peak = max(peak, used)
		if used > memoryMB {
			p.record.add("%s uses %.0f MB, more than memory_mb = %d, and is killed", one.name, used, memoryMB)
			one.end()
			return peak, true
		}
		select {
		case <-done:
			return peak, false
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// upload sends a body at a rate and reads the answer.
func (p *play) upload(one *daemon, id string, bytesPerSecond float64) answer {
	c, err := dial(p.ctx, one.listen)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	started := time.Now()
	_ = c.SetDeadline(started.Add(10 * time.Second))
	text := request{
		method: "POST", target: "/orders/1", id: id, timeLimit: 2500 * time.Millisecond, body: strings.Repeat("d", uploadBytes),
	}.text()
	for sent := 0; sent < len(text); {
		end := min(max(int(bytesPerSecond*time.Since(started).Seconds()), sent), len(text))
		if _, err := c.Write([]byte(text[sent:end])); err != nil {
			return answer{err: err}
		}
		sent = end
		time.Sleep(2 * time.Millisecond)
	}
	return c.receive(started)
}
