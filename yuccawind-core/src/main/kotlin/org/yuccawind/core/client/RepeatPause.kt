package org.yuccawind.core.client

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.yuccawind.core.admission.Admission
import org.yuccawind.core.admission.RepeatBudget
import org.yuccawind.core.admission.StatementDemand

/** Pauses of one statement before it is sent again, within the [budget] of its service. */
internal class RepeatPause(private val budget: RepeatBudget, private val demand: StatementDemand) {
    private var refusals = 0

    /** True if a server has refused the statement as busy since the last pause. */
    var isServerBusy = false

    /** Waits until the statement may be sent again, or returns why it may not. */
    suspend fun await(): Either<Admission.Refuse, Unit> =
        when (val decision = budget.decide(++refusals, demand, takeServerBusy())) {
            is Admission.Refuse -> decision.left()
            is Admission.Wait -> delay(decision.limit).right()
            Admission.Take -> Unit.right()
        }

    private fun takeServerBusy() = isServerBusy.also { isServerBusy = false }
}
