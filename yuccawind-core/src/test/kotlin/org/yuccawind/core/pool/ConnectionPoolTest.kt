package org.yuccawind.core.pool

import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.model.ServerStatus
import org.yuccawind.core.port.BackendError
import org.yuccawind.core.port.Command
import org.yuccawind.core.result.ResultCode

@OptIn(ExperimentalCoroutinesApi::class)
class ConnectionPoolTest {
    private val server = CountingServer()
    private val signals = MutableSignals()
    private val query = Command.Query("get k")

    @Test
    fun `statements in progress never exceed the slots`() = runTest {
        val pool = pool()
        List(20) { async { pool.execute(query, deadline()) } }.awaitAll().forEach {
            it.isRight() shouldBe true
        }
        server.maxInProgress shouldBe 2
    }

    @Test
    fun `a request that can't meet its deadline is refused at once and never runs`() = runTest {
        val pool = pool()
        pool.execute(query, deadline())
        val startedAt = testTimeSource.markNow()
        val late = List(50) { async { pool.execute(query, startedAt + 100.milliseconds) } }
        delay(1.milliseconds)
        val refused = late.filter { it.isCompleted }.map { it.await().leftOrNull() }
        refused.map { (it as PoolError.Refused).refusal.code }.distinct() shouldBe
            listOf(ResultCode.OVERLOADED)
        val notRun = late.awaitAll().count { it.leftOrNull() is PoolError.Refused }
        server.commands.size shouldBe 1 + late.size - notRun
    }

    @Test
    fun `a caller cancelled while a connection opens leaks neither permit nor connection`() =
        runTest {
            val pool = pool(PoolSettings(connections = 1))
            repeat(5) {
                val caller = launch { pool.acquire(deadline()) }
                delay(1.milliseconds)
                caller.cancel()
            }
            delay(1.seconds)
            pool.acquire(deadline()).isRight() shouldBe true
            server.open.size shouldBe 1
        }

    @Test
    fun `a caller cancelled during a statement closes the connection`() = runTest {
        val pool = pool(PoolSettings(connections = 1))
        val caller = launch { pool.execute(query, deadline()) }
        delay(15.milliseconds)
        val first = server.open.single()
        caller.cancel()
        delay(1.milliseconds)
        server.open shouldNotContain first
        pool.execute(query, deadline()).isRight() shouldBe true
    }

    @Test
    fun `a statement timeout closes every connection that has not answered since`() = runTest {
        val pool = pool()
        List(2) { async { pool.execute(query, deadline()) } }.awaitAll()
        val silent = server.open.toList().onEach { it.isSilent = true }
        val lost = pool.execute(query, deadline()).leftOrNull() as PoolError.Backend
        (lost.error is BackendError.Lost) shouldBe true
        delay(1.milliseconds)
        silent.forEach { server.open shouldNotContain it }
        pool.execute(query, deadline()).isRight() shouldBe true
    }

    @Test
    fun `a probe closes an idle connection that no longer answers`() = runTest {
        val pool = pool()
        pool.execute(query, deadline())
        val silent = server.open.single().apply { isSilent = true }
        delay(3.seconds)
        server.open shouldNotContain silent
    }

    @Test
    fun `an interactive transaction's connection is reset before the next`() = runTest {
        val pool = pool(PoolSettings(connections = 1))
        val lease = pool.acquire(deadline()).getOrNull()!!
        lease.execute(Command.Begin(1))
        lease.release()
        server.commands shouldNotContain Command.Reset
        pool.execute(query, deadline())
        server.commands shouldBe listOf(Command.Begin(1), Command.Reset, query)
    }

    @Test
    fun `a lease that is ended twice releases only one permit`() = runTest {
        val pool = pool(PoolSettings(connections = 1))
        val lease = pool.acquire(deadline()).getOrNull()!!
        lease.release()
        lease.discard()
        pool.acquire(deadline()).isRight() shouldBe true
        val now = testTimeSource.markNow()
        pool.acquire(now + 50.milliseconds).leftOrNull()?.code shouldBe ResultCode.NO_CONNECTION
    }

    @Test
    fun `connections above the guaranteed share are closed when the server reports itself full`() =
        runTest {
            signals.instanceCount = 4
            signals.status = status(open = 0)
            val pool = pool(PoolSettings(connections = 16))
            val leases = List(6) { pool.acquire(deadline()).getOrNull()!! }
            server.open.size shouldBe 6
            signals.status = status(open = 16)
            leases.forEach { it.release() }
            delay(1.seconds)
            server.open.size shouldBe 4
        }

    @Test
    fun `every instance gets its guaranteed share although another has borrowed`() = runTest {
        val small = CountingServer(limit = 8)
        val both = List(2) { MutableSignals(instanceCount = 2) }
        val pools = both.map { poolOf(small, PoolSettings(connections = 8), it) }
        both.forEach { it.status = status(open = 0) }
        val borrowed = List(6) { pools[0].acquire(deadline()).getOrNull()!! }
        both.forEach { it.status = status(open = small.open.size) }
        val guaranteed = List(4) { async { pools[1].acquire(deadline()) } }
        delay(100.milliseconds)
        borrowed.drop(3).forEach { it.release() }
        guaranteed.awaitAll().count { it.isRight() } shouldBe 4
        small.open.size shouldBeLessThanOrEqualTo 8
    }

    @Test
    fun `connections are closed when the pool is cancelled`() = runTest {
        val pool = poolOf(server, PoolSettings(connections = 4), signals, run = false)
        val running = launch { pool.run() }
        pool.execute(query, deadline())
        server.commands shouldContain query
        running.cancel()
        running.join()
        server.open.size shouldBe 0
    }

    private fun TestScope.pool(settings: PoolSettings = PoolSettings(connections = 16)) =
        poolOf(server, settings, signals)

    private fun TestScope.poolOf(
        server: CountingServer,
        settings: PoolSettings,
        signals: PoolSignals,
        run: Boolean = true
    ) = ConnectionPool(server, settings, testTimeSource, signals).also {
        if (run) backgroundScope.launch { it.run() }
    }

    private fun TestScope.deadline() = testTimeSource.markNow() + 5.seconds

    private fun status(open: Int) = ServerStatus(1, LogPoint(1, 1), ServerRole.PRIMARY, 0, open)
}
