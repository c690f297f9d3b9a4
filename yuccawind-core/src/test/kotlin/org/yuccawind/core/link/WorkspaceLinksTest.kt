package org.yuccawind.core.link

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.group.GroupMember
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.workspace.Caller
import org.yuccawind.core.workspace.Workspace
import org.yuccawind.core.workspace.WorkspaceName

/**
 * Properties of the pools of several instances before one server, over random schedules of
 * arrivals, lost connections, changes of home and a server that others fill up.
 */
class WorkspaceLinksTest {
    @Test
    fun `a statement never runs on another workspace's connection and nobody starves`() {
        (1..SEEDS).flatMap { faults(it, Variant.NONE) }.shouldBeEmpty()
    }

    @Test
    fun `reuse over workspaces is found`() = isFound(Variant.SHARED_LINKS)

    @Test
    fun `idle connections that are never closed are found`() = isFound(Variant.NO_EVICTION)

    @Test
    fun `probes that share the workspaces' places are found`() = isFound(Variant.PROBES_IN_SHARE)

    @Test
    fun `in the steady state the server refuses nobody`() = runTest {
        val server = Server(this, cap = 24)
        val instances = List(INSTANCES) { Instance(this, server, Variant.NONE, it < HOMES) }
        val random = Random(1)
        val jobs = List(600) { number ->
            launch {
                delay(50.milliseconds * number)
                instances.random(random).run(caller(random.nextInt(30)), 10.milliseconds, 4.seconds)
            }
        }
        jobs.joinAll()
        server.refusals shouldBe 0
    }

    @Test
    fun `a small workspace gets a place in time while others fill the server`() = runTest {
        val server = Server(this, cap = 6)
        val instance = Instance(this, server, Variant.NONE, isHome = true, share = 6)
        val random = Random(2)
        instance.run(null, 1.milliseconds, PATIENCE)
        repeat(3) { server.open(null) }
        val jobs = List(OPERATIONS) { number ->
            launch {
                delay(10.milliseconds * number)
                instance.run(caller(0), random.nextInt(5, LONGEST_MS).milliseconds, PATIENCE)
            }
        }
        delay(1.seconds)
        repeat(20) {
            instance.run(caller(1), 10.milliseconds, PATIENCE).wait shouldBeLessThan bound(server)
            delay(100.milliseconds)
        }
        server.refusals shouldBeGreaterThan 0
        jobs.joinAll()
    }

    private fun isFound(variant: Variant) {
        faults(1, variant).shouldNotBeEmpty()
    }

    /** Plays one schedule. Returns a line for each property that did not hold. */
    private fun faults(seed: Int, variant: Variant): List<String> {
        val faults = ArrayList<String>()
        runTest {
            val random = Random(seed)
            val server = Server(this, cap = random.nextInt(6, 12))
            val instances = List(INSTANCES) { Instance(this, server, variant, it < HOMES) }
            val jobs = List(OPERATIONS) { number ->
                // The big workspace sends most of the load, more than the server takes.
                val isBig = random.nextInt(10) < 9
                val at = 4.milliseconds * number
                val hold = random.nextInt(5, LONGEST_MS).milliseconds
                val instance = instances[random.nextInt(INSTANCES)]
                val probes = number % 50 == 0
                val caller = if (isBig) caller(0) else caller(random.nextInt(1, 4))
                launch {
                    delay(at)
                    val outcome = instance.run(if (probes) null else caller, hold, PATIENCE)
                    if (outcome.isForeign) faults += "$seed: foreign connection at $at"
                    val bound = if (probes) server.openTime * 2 else bound(server)
                    if (!outcome.isBehindItsOwn && outcome.wait > bound) {
                        faults += "$seed: ${caller.workspace} $probes waited ${outcome.wait}"
                    }
                }
            }
            val disturbances = launch {
                repeat(OPERATIONS / 100) {
                    delay(400.milliseconds)
                    server.loseOne(random)
                    instances.forEach { it.isHome = random.nextBoolean() }
                }
            }
            (jobs + disturbances).joinAll()
            instances.forEachIndexed { index, instance -> instance.isHome = index < HOMES }
            if (server.most > server.cap) faults += "$seed: ${server.most} open"
            delay(LinkBudget.MAX_WORKSPACE_IDLE_TIME + 1.seconds)
            if (server.openNow > HOMES) faults += "$seed: ${server.openNow} still open"
        }
        return faults
    }

    /**
     * Bound for a small workspace: the wait for its turn, a statement that runs meanwhile and an
     * opening, for each workspace that may come before it.
     */
    private fun bound(server: Server) =
        FAIR_WAIT + (LONGEST_MS.milliseconds + server.openTime) * WORKSPACES

    private fun caller(number: Int) = Caller.Member(Workspace(WorkspaceName("w$number")))

    private enum class Variant { NONE, SHARED_LINKS, NO_EVICTION, PROBES_IN_SHARE }

    /**
     * Outcome of one operation.
     *
     * @property isBehindItsOwn true if others of its workspace were there before it
     */
    private class Outcome(val wait: Duration, val isForeign: Boolean, val isBehindItsOwn: Boolean)

    /** One instance: its pool, and the callers that use it. */
    private inner class Instance(
        private val scope: TestScope,
        private val server: Server,
        private val variant: Variant,
        var isHome: Boolean,
        share: Int = server.cap / INSTANCES
    ) {
        private val pool = LinkPool(
            scope.backgroundScope,
            scope.testTimeSource,
            { LinkBudget(share, INSTANCES, HOMES, isHome) },
            { 10.milliseconds },
            Random(5)
        ) { server.open(pooledFor(it)) }

        private val active = HashMap<WorkspaceName?, Int>()

        init {
            scope.backgroundScope.launch {
                while (true) {
                    delay(100.milliseconds)
                    if (variant != Variant.NO_EVICTION) pool.evictIdle()
                }
            }
        }

        suspend fun run(caller: Caller.Member?, hold: Duration, patience: Duration): Outcome {
            val before = active[caller?.workspace] ?: 0
            active[caller?.workspace] = before + 1
            val outcome = attempt(caller, hold, patience, isBehindItsOwn = before > 0)
            active.merge(caller?.workspace, -1, Int::plus)
            return outcome
        }

        private suspend fun attempt(
            caller: Caller.Member?,
            hold: Duration,
            patience: Duration,
            isBehindItsOwn: Boolean
        ): Outcome {
            val startedAt = scope.testTimeSource.markNow()
            val asked = pooledFor(caller?.workspace)?.let { Caller.Member(Workspace(it)) }
            val urgency = LinkUrgency(
                startedAt.takeIf { caller != null }?.plus(1.seconds),
                priority = 0,
                asked ?: Caller.Anonymous
            )
            while (startedAt.elapsedNow() < patience) {
                val link = pool.acquire(patience - startedAt.elapsedNow(), urgency)?.getOrNull()
                if (link == null) {
                    delay(20.milliseconds)
                    continue
                }
                val wait = startedAt.elapsedNow()
                val isForeign = server.firstCaller(link, caller?.workspace) != caller?.workspace
                delay(hold)
                pool.release(link)
                return Outcome(wait, isForeign, isBehindItsOwn)
            }
            return Outcome(startedAt.elapsedNow(), isForeign = false, isBehindItsOwn)
        }

        private fun pooledFor(workspace: WorkspaceName?) = when (variant) {
            Variant.SHARED_LINKS -> workspace?.let { WorkspaceName("all") }
            Variant.PROBES_IN_SHARE -> workspace ?: WorkspaceName("probes")
            Variant.NONE, Variant.NO_EVICTION -> workspace
        }
    }

    /** Fake server that refuses connections above [cap]. */
    private class Server(private val scope: TestScope, val cap: Int) {
        val openTime = 12.milliseconds
        private val open = ArrayList<FakeLink>()
        private val callers = HashMap<PooledLink, WorkspaceName?>()
        var most = 0
        var refusals = 0

        val openNow get() = open.size

        suspend fun open(workspace: WorkspaceName?): Either<OpenError, PooledLink> {
            if (open.size >= cap) {
                refusals++
                return OpenError.TooMany("full").left()
            }
            val link = FakeLink()
            open += link
            most = maxOf(most, open.size)
            delay(openTime)
            return PooledLink(MEMBER, link, scope.testTimeSource, workspace).right()
        }

        /** Returns the workspace of the first caller on [link], [workspace] if there was none. */
        fun firstCaller(link: PooledLink, workspace: WorkspaceName?): WorkspaceName? {
            if (link !in callers) callers[link] = workspace
            return callers[link]
        }

        fun loseOne(random: Random) {
            open.randomOrNull(random)?.close()
        }

        inner class FakeLink : ServerLink {
            override var isOpen = true
            override val initialPosition: LogPoint? = null

            override suspend fun exchange(commands: List<LinkCommand>) =
                emptyList<LinkReply>().right()

            override fun close() {
                isOpen = false
                open.remove(this)
            }
        }
    }

    private companion object {
        const val SEEDS = 8
        const val INSTANCES = 3
        const val HOMES = 2
        const val OPERATIONS = 1_000
        const val WORKSPACES = 4
        const val LONGEST_MS = 120
        val PATIENCE = 4.seconds
        val MEMBER = GroupMember(
            name = BackendServerName("a"),
            address = "127.0.0.1:1",
            zone = AvailabilityZone("z"),
            role = ServerRole.PRIMARY,
            slots = 4,
            isLeaving = false,
            startedAtMs = 0
        )
    }
}
