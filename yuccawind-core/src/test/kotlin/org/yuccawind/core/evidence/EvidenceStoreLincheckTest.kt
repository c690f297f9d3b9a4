package org.yuccawind.core.evidence

import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.patient

private const val ITERATIONS = 3
private const val INVOCATIONS = 30

/** Checks with Lincheck that [EvidenceStore] is linearizable under concurrent use. */
@Param(name = "position", gen = IntGen::class, conf = "1:4")
class EvidenceStoreLincheckTest {
    private val time = TestTimeSource()
    private val start = time.markNow()
    private val store = EvidenceStore(majority = 1, time)
    private val server = BackendServerName("db-1")

    @Operation
    fun observe(@Param(name = "position") position: Int) {
        val status = ServerStatus(1, point(position), ServerRole.REPLICA)
        store.observe(Observation(server, status, markOf(position), markOf(position)))
    }

    @Operation
    fun certify(@Param(name = "position") position: Int) =
        store.addCertificate(Certificate(server, point(position), markOf(position)))

    @Operation
    fun isOnMajority(@Param(name = "position") position: Int) = store.isOnMajority(point(position))

    @Operation
    fun ageOf(@Param(name = "position") position: Int) = store.ageOf(point(position))?.toString()

    @Operation
    fun latestEnd() = store.observationOf(server)?.status?.end?.toString()

    @Test
    fun `the evidence store is linearizable`() {
        ModelCheckingOptions().patient().iterations(ITERATIONS)
            .invocationsPerIteration(INVOCATIONS)
            .actorsBefore(0).actorsPerThread(2).actorsAfter(0).minimizeFailedScenario(false)
            .check(this::class.java)
    }

    private fun point(position: Int) = LogPoint(1, position.toLong())

    private fun markOf(position: Int) = start + position.milliseconds
}
