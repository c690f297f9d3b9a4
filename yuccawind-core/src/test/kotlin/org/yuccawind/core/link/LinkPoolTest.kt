package org.yuccawind.core.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.group.GroupMember
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.workspace.WorkspaceName

class LinkPoolTest {
    @Test
    fun `at triple load 90 percent of the capacity meets the latency goal`() = runTest {
        val answers = load(pool(), arrivals = 450, every = SERVICE_TIME / 3) { 1 }
        answers.count { it.elapsed <= LATENCY_GOAL } shouldBeGreaterThanOrEqual 150 * 9 / 10
    }

    @Test
    fun `at triple load all callers of the highest priority meet the latency goal`() = runTest {
        val answers = load(pool(), arrivals = 450, every = SERVICE_TIME / 3) { it % 5 }
        answers.filter { it.priority == 0 && it.elapsed > LATENCY_GOAL }.shouldBeEmpty()
    }

    @Test
    fun `a probe takes precedence over waiting clients`() = runTest {
        val pool = pool()
        val link = checkNotNull(pool.acquire(1.seconds, urgency(0)))
        val client = async { pool.acquire(1.seconds, urgency(0)) }
        val probe = async { pool.acquire(1.seconds, LinkUrgency.PROBE) }
        delay(1.milliseconds)
        link.onRight(pool::release)
        probe.await()
        client.isCompleted shouldBe false
        client.cancel()
    }

    @Test
    fun `open attempts back off while the server stays full`() = runTest {
        var openAttempts = 0
        val pool = pool {
            openAttempts++
            OpenError.TooMany("full").left()
        }
        repeat(ACQUISITIONS) {
            pool.acquire(ACQUISITION_PERIOD, urgency(0))
            delay(ACQUISITION_PERIOD)
        }
        // Backoff of 0.1, 0.2 and 0.4 s, then 0.8 s, at least half of it with jitter, within 10 s.
        openAttempts shouldBeLessThanOrEqual 3 + 10_000 / 400
    }

    private class Answer(val priority: Int, val elapsed: Duration)

    /** Starts callers at a fixed rate and returns the answers of those that acquired a link. */
    private suspend fun TestScope.load(
        pool: LinkPool,
        arrivals: Int,
        every: Duration,
        priorityOf: (Int) -> Int
    ): List<Answer> = List(arrivals) { number ->
        async {
            delay(every * number)
            val arrivedAt = testTimeSource.markNow()
            val priority = priorityOf(number)
            pool.acquire(ACQUIRE_TIMEOUT, urgency(priority))?.onRight { link ->
                delay(SERVICE_TIME)
                pool.release(link)
            }?.let { Answer(priority, arrivedAt.elapsedNow()) }
        }
    }.awaitAll().filterNotNull()

    private fun TestScope.urgency(priority: Int) =
        LinkUrgency(testTimeSource.markNow() + LATENCY_GOAL, priority)

    private fun TestScope.pool(
        open: suspend (WorkspaceName?) -> Either<OpenError, PooledLink> = {
            PooledLink(MEMBER, OpenLink, testTimeSource, it).right()
        }
    ) = LinkPool(
        scope = backgroundScope,
        time = testTimeSource,
        budget = { LinkBudget(maxConnections = 1, instances = 1, homes = 1, isHome = true) },
        answerTime = { SERVICE_TIME },
        random = Random(3),
        open = open
    )

    private object OpenLink : ServerLink {
        override val isOpen = true
        override val initialPosition: LogPoint? = null

        override suspend fun exchange(
            commands: List<LinkCommand>
        ): Either<LinkLost, List<LinkReply>> = emptyList<LinkReply>().right()

        override fun close() = Unit
    }

    private companion object {
        const val ACQUISITIONS = 1_000
        val ACQUISITION_PERIOD = 10.milliseconds
        val SERVICE_TIME = 20.milliseconds
        val LATENCY_GOAL = 200.milliseconds
        val ACQUIRE_TIMEOUT = 800.milliseconds
        val MEMBER = GroupMember(
            name = BackendServerName("a"),
            address = "127.0.0.1:1",
            zone = AvailabilityZone("z"),
            role = ServerRole.PRIMARY,
            slots = 1,
            isLeaving = false,
            startedAtMs = 0
        )
    }
}
