package org.yuccawind.core.pool

import io.kotest.assertions.throwables.shouldThrow
import kotlin.reflect.KClass
import org.jetbrains.lincheck.LincheckAssertionError
import org.jetbrains.lincheck.datastructures.IntGen
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.jetbrains.lincheck.datastructures.Param
import org.jetbrains.lincheck.datastructures.StressOptions
import org.junit.jupiter.api.Test
import org.yuccawind.core.withRaisedTimeout

private const val HELD_AT_START = 20
private const val ITERATIONS = 3
private const val INVOCATIONS = 30

class PermitQueueLincheckTest {
    @Test
    fun `permits are linearizable under the model checker`() = modelCheck(PermitOperations::class)

    @Test
    fun `permits are linearizable under stress`() {
        StressOptions().iterations(ITERATIONS).invocationsPerIteration(INVOCATIONS)
            .check(PermitOperations::class.java)
    }

    @Test
    fun `the model checker detects missing locking`() {
        shouldThrow<LincheckAssertionError> { modelCheck(UnlockedOperations::class) }
    }

    private fun modelCheck(operations: KClass<*>) {
        ModelCheckingOptions().withRaisedTimeout().iterations(ITERATIONS)
            .invocationsPerIteration(INVOCATIONS)
            .actorsBefore(0).actorsPerThread(2).actorsAfter(0).minimizeFailedScenario(false)
            .check(operations.java)
    }
}

/** Operations on [PermitQueue]; enough permits are held initially for every release. */
@Param(name = "limit", gen = IntGen::class, conf = "18:22")
class PermitOperations {
    private val queue = PermitQueue(HELD_AT_START, queueLimit = 4).apply {
        repeat(HELD_AT_START) { tryAcquire() }
    }

    @Operation
    fun take() = queue.tryAcquire()

    @Operation
    fun giveBack() = queue.release()

    @Operation
    fun resize(@Param(name = "limit") limit: Int) = queue.resize(limit)

    @Operation
    fun held() = queue.usage.held
}

/** Broken variant: the same counting without a lock. */
class UnlockedOperations {
    private var held = HELD_AT_START

    @Operation
    fun take(): Boolean {
        val free = held < HELD_AT_START
        if (free) held++
        return free
    }

    @Operation
    fun giveBack() {
        held--
    }
}
