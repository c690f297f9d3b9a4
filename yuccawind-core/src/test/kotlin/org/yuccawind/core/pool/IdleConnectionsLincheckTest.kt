package org.yuccawind.core.pool

import arrow.core.right
import io.kotest.assertions.throwables.shouldThrow
import kotlin.reflect.KClass
import kotlin.time.Duration
import kotlin.time.TestTimeSource
import org.jetbrains.lincheck.LincheckAssertionError
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Operation
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.port.Answer
import org.yuccawind.core.port.BackendConnection
import org.yuccawind.core.port.Command
import org.yuccawind.core.withRaisedTimeout

private const val ITERATIONS = 3
private const val PUT_NUMBER = 3
private const val INVOCATIONS = 30

class IdleConnectionsLincheckTest {
    @Test
    fun `an idle connection is taken by one caller only`() = modelCheck(IdleOperations::class)

    @Test
    fun `the model checker detects missing locking`() {
        shouldThrow<LincheckAssertionError> { modelCheck(UnlockedIdleOperations::class) }
    }

    private fun modelCheck(operations: KClass<*>) {
        ModelCheckingOptions().withRaisedTimeout().iterations(ITERATIONS)
            .invocationsPerIteration(INVOCATIONS)
            .actorsBefore(0).actorsPerThread(2).actorsAfter(0).minimizeFailedScenario(false)
            .check(operations.java)
    }
}

/** Operations on [IdleConnections], whose connections are identified by number. */
class IdleOperations {
    private val mark = TestTimeSource().markNow()
    private val idle = IdleConnections().apply { repeat(2) { put(pooled(it)) } }

    @Operation
    fun put() = idle.put(pooled(PUT_NUMBER))

    @Operation
    fun take() = numberOf(idle.take())

    @Operation
    fun takeAll() = idle.takeSilentFor(Duration.ZERO).map(::numberOf)

    @Operation
    fun takeOldest() = idle.takeSurplus(1, Duration.ZERO).map(::numberOf)

    private fun pooled(number: Int) = PooledConnection(Numbered(number), mark)

    private fun numberOf(pooled: PooledConnection?) = (pooled?.connection as? Numbered)?.number

    private data class Numbered(val number: Int) : BackendConnection {
        override suspend fun execute(command: Command) = Answer(LogPoint.ZERO).right()

        override suspend fun close() = Unit
    }
}

/** Broken variant: a list without a lock. */
class UnlockedIdleOperations {
    private val idle = ArrayList(listOf(1, 2))

    @Operation
    fun put() {
        idle.add(PUT_NUMBER)
    }

    @Operation
    fun take(): Int? = if (idle.isEmpty()) null else idle.removeAt(idle.size - 1)
}
