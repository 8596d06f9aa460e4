package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// newRegisters returns the registers of daemons that know each other, with the same three ends.
func newRegisters(n int) []*Register {
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:1", i))
	}
	var list []*Register
	for i, self := range addresses {
		var peers []string
		peers = append(append(peers, addresses[:i]...), addresses[i+1:]...)
		list = append(list, newRegister(self, peers...))
	}
	recordEnds(list[0], 3, bad)
	for _, r := range list[1:] {
		r.Merge(list[0].Evidence(8, 8))
	}
	return list
}

// admitting returns the registers that admit a request.
func admitting(list []*Register, parts ...Part) []*Register {
	var admitted []*Register
	for _, r := range list {
		if r.Admit(parts) == nil {
			admitted = append(admitted, r)
		}
	}
	return admitted
}

// Guards against trials at several daemons, or several at one, which would each end an engine.
func TestOneTrialOverAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newRegisters(30)
		trials := 0
		for _, r := range list {
			r.OnTrial = func([]Part) { trials++ }
		}
		time.Sleep(firstHold - time.Second)
		require.Empty(t, admitting(list, bad))
		time.Sleep(time.Second)
		require.Len(t, admitting(list, bad, other), 1)
		require.Equal(t, 1, trials)
		require.Empty(t, admitting(list, bad, other))
		time.Sleep(trialTimeout - time.Second)
		require.Empty(t, admitting(list, bad, other))
		require.Equal(t, 1, trials, "a refused request is no trial")
	})
}

// Guards against a trial that ended an engine and is repeated soon, or is not known to daemons that start.
func TestTrialThatEndsAnEngineRenewsTheHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newRegisters(5)
		for _, hold := range []time.Duration{firstHold, holdFactor * firstHold, holdFactor * holdFactor * firstHold} {
			time.Sleep(hold - time.Second)
			require.Empty(t, admitting(list, bad))
			time.Sleep(time.Second)
			owners := admitting(list, bad)
			require.Len(t, owners, 1)
			owners[0].RecordEnd(fmt.Sprint("trial after ", hold), []Part{bad})
			started := newRegister("started", "10.0.0.0:1")
			for _, r := range append(list, started) {
				r.Merge(owners[0].Evidence(8, 8))
				require.Equal(t, min(holdFactor*hold, maxHold), r.groups[0].hold)
			}
		}
	})
}

// Guards against a sound part that stays refused although a trial has shown that engines live on it.
func TestTrialThatLivesReleasesThePart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newRegisters(5)
		time.Sleep(firstHold)
		owners := admitting(list, bad, other)
		require.Len(t, owners, 1)
		owners[0].RecordLived([]Part{bad, other})
		for _, r := range list {
			r.Merge(owners[0].Evidence(8, 8))
		}
		require.Len(t, admitting(list, bad, other), len(list))
	})
}

// Guards against a part that stays refused because a trial's request was never sent or its result was lost.
func TestTrialWithoutResultIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newRegisters(5)
		time.Sleep(firstHold)
		require.Len(t, admitting(list, bad), 1)
		time.Sleep(trialTimeout)
		require.Len(t, admitting(list, bad), 1)
	})
}

// Guards against a second trial because evidence that arrives during the first one changes the group.
func TestTrialOutlastsAChangeOfTheGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a")
		recordEnds(r, 3, bad, other)
		time.Sleep(firstHold)
		require.NoError(t, r.Admit([]Part{bad, other}))
		r.RecordLived([]Part{other})
		require.Equal(t, []Part{bad}, requireSuspect(t, r, bad).Parts)
	})
}

// Guards against a daemon that hears no peer and tries each part itself, as every other daemon that is cut off would.
func TestDaemonThatHearsNobodyIsNotTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := newRegisters(5)
		// Each one keeps its peers in the list but hears none of them, as after a cut.
		time.Sleep(10 * firstHold)
		require.Len(t, admitting(list, bad), 1)
	})
}

// Guards against a hold that grows without a limit.
func TestHoldHasALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a")
		recordEnds(r, 3, bad)
		require.True(t, requireSuspect(t, r, bad).Unsettled)
		time.Sleep(settleTime)
		for range 6 {
			time.Sleep(requireSuspect(t, r, bad).RetryAfter())
			require.NoError(t, r.Admit([]Part{bad}))
			r.RecordEnd(fmt.Sprint("engine at ", time.Now().UnixNano()), []Part{bad})
			r.RecordEnd(fmt.Sprint("another engine at ", time.Now().UnixNano()), []Part{bad})
			if r.Quarantined() > 0 {
				require.LessOrEqual(t, requireSuspect(t, r, bad).RetryAfter(), maxHold)
			}
		}
	})
}

// Guards against a common part that stays refused for a whole hold because it shared its engines with two parts that crash
// engines, and against a trial of it that contains one of them and so tells nothing.
func TestContestedPartIsTriedSoonWithoutItsAlternatives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a")
		for i := range 6 {
			time.Sleep(400 * time.Millisecond)
			r.RecordEnd(fmt.Sprint(i), []Part{third, []Part{bad, other}[i%2]})
		}
		require.Equal(t, []Part{third}, requireSuspect(t, r, third).Parts)
		time.Sleep(contestedHold)
		require.Error(t, r.Admit([]Part{third, bad}))
		require.NoError(t, r.Admit([]Part{third}))
		r.RecordLived([]Part{third})
		require.NoError(t, r.Admit([]Part{third}))
		require.Equal(t, 2, r.Quarantined())
		require.Error(t, r.Admit([]Part{third, bad}))
		require.Error(t, r.Admit([]Part{third, other}))
	})
}

// Guards against two trials at once: the peers of a daemon that stops may already have chosen another owner.
func TestStoppingDaemonStartsNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegister("a")
		leaving := true
		r.Leaving = func() bool { return leaving }
		recordEnds(r, 3, bad)
		time.Sleep(firstHold)
		require.Positive(t, requireSuspect(t, r, bad).RetryAfter())
		leaving = false
		require.NoError(t, r.Admit([]Part{bad}))
	})
}
