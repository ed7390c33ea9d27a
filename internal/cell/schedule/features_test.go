package schedule

import "testing"

// Guards against rules that hold only with the switches off: the rule tests of the package
// are run with gang capacity on.
func TestRulesHoldWithGangCapacity(t *testing.T) {
	clusterFeatures = Features{GangCapacity: true}
	t.Cleanup(func() { clusterFeatures = Features{} })
	for name, test := range map[string]func(*testing.T){
		"under faults":                      TestRulesHoldUnderFaults,
		"work runs after faults":            TestWorkRunsOnceFaultsHaveEnded,
		"gang without room":                 TestGangWithoutRoomHoldsNoReservation,
		"tickets beside reserving gangs":    TestGangWithRoomRenewsTicketsBesideReservingGangs,
		"room of long-running tasks":        TestRoomOfLongRunningTasksIsNotExpected,
		"room in bounded time":              TestRoomIsGatheredInBoundedTime,
		"room that does not come":           TestGangLooksElsewhereForRoomThatDoesNotCome,
		"long-running on reserved room":     TestLongRunningTasksStartOnReservedRoom,
		"reservations in an idle cell":      TestReservationsDelayNoSubmissionInAnIdleCell,
		"limit kept for a gang":             TestLimitKeptForAGangDelaysNoOtherInAnIdleCell,
		"gang behind others":                TestGangBehindOthersAsksAboutIdleHosts,
		"calls name few hosts":              TestNoAdviceCallNamesTooManyHosts,
		"failed calls":                      TestFailedCallsForAdviceAreMadeLessOften,
		"work of a decision":                TestWorkOfDecisionIsBounded,
		"head of the queue":                 TestHeadOfQueueIsPlacedInEachDecision,
		"rules across takeovers":            TestRulesHoldAcrossTakeovers,
		"each suspect has its turn":         TestEachSuspectHasItsTurn,
		"suspects start on hosts with room": TestSuspectStartsWithinABoundOnHostsWithRoom,
	} {
		t.Run(name, test)
	}
}
