package org.yuccawind.core.link

import arrow.core.Either
import arrow.core.right
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TestTimeSource
import kotlin.time.measureTime
import org.junit.jupiter.api.Test
import org.yuccawind.core.group.GroupMember
import org.yuccawind.core.model.AvailabilityZone
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.model.ServerRole
import org.yuccawind.core.workspace.Caller
import org.yuccawind.core.workspace.Workspace
import org.yuccawind.core.workspace.WorkspaceName

class LinkQueueTest {
    private val time = TestTimeSource()
    private val queue = LinkQueue(time) { ANSWER_TIME }

    @Test
    fun `a caller is overtaken at most 15 times for each one that arrived before it`() {
        val early = List(3) { queue.add(urgency(priority = 5)) }
        var handOvers = 0
        while (early.any { !it.result.isCompleted }) {
            repeat(2) { queue.add(urgency(priority = 0)) }
            queue.handOff(link("w"))
            handOvers++
        }
        handOvers shouldBeLessThanOrEqual early.size * HAND_OVERS_PER_OLDEST
    }

    @Test
    fun `a late caller is served although others that can meet their goals keep coming`() {
        val late = queue.add(urgency(priority = 0, goal = Duration.ZERO))
        var handOvers = 0
        while (!late.result.isCompleted) {
            queue.add(urgency(priority = 0))
            queue.handOff(link("w"))
            handOvers++
        }
        handOvers shouldBeLessThanOrEqual HAND_OVERS_PER_OLDEST
    }

    @Test
    fun `connections are opened by priority of the route, then of the workspace`() {
        queue.add(urgency(priority = 2, workspace = "a"))
        queue.add(urgency(priority = 1, workspace = "b", workspacePriority = 1))
        queue.add(urgency(priority = 1, workspace = "c", workspacePriority = 0))
        openingOrder(3) shouldContainExactly listOf("c", "b", "a")
    }

    @Test
    fun `a workspace with many callers shares the server with those that have few`() {
        repeat(500) { queue.add(urgency(workspace = "hot")) }
        val hot = served(50).count { it == "hot" }
        hot shouldBe 50
        repeat(20) { queue.add(urgency(workspace = "small")) }
        val small = served(40).count { it == "small" }
        small shouldBeInRange 17..20
        // What the small one does not use goes to the hot one.
        served(100).count { it == "hot" } shouldBe 100 - (20 - small)
    }

    @Test
    fun `a workspace cannot save up a share while it sends nothing`() {
        queue.add(urgency(workspace = "idle"))
        served(1)
        repeat(400) { queue.add(urgency(workspace = "busy")) }
        served(200)
        repeat(100) { queue.add(urgency(workspace = "idle")) }
        served(100).count { it == "idle" } shouldBeInRange 45..56
    }

    @Test
    fun `a link is given up only for a workspace of higher rank or with clearly less work`() {
        queue.add(urgency(workspace = "a"))
        queue.mustYield(WorkspaceName("a"), emptyMap()) shouldBe false
        queue.add(urgency(workspace = "b"))
        queue.mustYield(WorkspaceName("a"), emptyMap()) shouldBe false
        queue.recordWork(WorkspaceName("a"), ANSWER_TIME * 10)
        queue.mustYield(WorkspaceName("a"), emptyMap()) shouldBe true
        queue.mustYield(WorkspaceName("a"), mapOf(WorkspaceName("b") to 1)) shouldBe false
    }

    @Test
    fun `the sizes stay right while callers come, leave and are served`() {
        val random = Random(7)
        val waiting = ArrayList<LinkWaiter>()
        repeat(5_000) {
            when (random.nextInt(4)) {
                0, 1 -> waiting += queue.add(
                    urgency(random.nextInt(3), "w${random.nextInt(5)}", goal = random.goal())
                )

                2 -> if (waiting.isNotEmpty()) {
                    queue.remove(waiting.removeAt(random.nextInt(waiting.size)))
                }

                else -> queue.handOff(link("w${random.nextInt(5)}"))
            }
            waiting.removeIf { it.result.isCompleted }
            time += 1.milliseconds
            queue.size shouldBe waiting.size
            queue.sizeUpTo(1) shouldBe waiting.count { it.urgency.priority <= 1 }
        }
        while (queue.size > 0) queue.failNext(OpenError.TooMany("full"))
        waiting.all { it.result.isCompleted } shouldBe true
    }

    @Test
    fun `a decision with 1,000 waiting takes at most 20 microseconds`() {
        for (workspaces in listOf(1, 100, 1_000)) decisionTime(workspaces)
        for (workspaces in listOf(1, 100, 1_000)) {
            decisionTime(workspaces).inWholeNanoseconds / 1_000.0 shouldBeLessThanOrEqual 20.0
        }
    }

    /** Time to add one caller, find the next one to open a connection for, and hand over a link. */
    private fun decisionTime(workspaces: Int): Duration {
        val queue = LinkQueue(time) { ANSWER_TIME }
        val names = List(workspaces) { "w$it" }
        repeat(1_000) { queue.add(urgency(it % 3, names[it % workspaces])) }
        return List(5) {
            measureTime {
                repeat(DECISIONS) {
                    val name = names[it % workspaces]
                    queue.add(urgency(it % 3, name))
                    queue.firstWithoutOpening(emptyMap())
                    queue.handOff(link(name))
                }
            } / DECISIONS
        }.min()
    }

    private fun served(count: Int) = List(count) {
        val workspace = checkNotNull(queue.firstWithoutOpening(emptyMap())).urgency.caller.workspace
        queue.handOff(link(workspace?.value))
        queue.recordWork(workspace, ANSWER_TIME)
        workspace?.value
    }

    private fun openingOrder(count: Int): List<String?> {
        val opening = HashMap<WorkspaceName?, Int>()
        return List(count) {
            val next = checkNotNull(queue.firstWithoutOpening(opening)).urgency.caller.workspace
            opening.merge(next, 1, Int::plus)
            next?.value
        }
    }

    private fun Random.goal() = nextInt(200).milliseconds

    private fun urgency(
        priority: Int = 1,
        workspace: String = "w",
        workspacePriority: Int = 0,
        goal: Duration = 10.seconds
    ) = LinkUrgency(
        time.markNow() + goal,
        priority,
        Caller.Member(Workspace(WorkspaceName(workspace), workspacePriority))
    )

    private fun link(workspace: String?) =
        PooledLink(MEMBER, OpenLink, time, workspace?.let(::WorkspaceName))

    private object OpenLink : ServerLink {
        override val isOpen = true
        override val initialPosition: LogPoint? = null

        override suspend fun exchange(
            commands: List<LinkCommand>
        ): Either<LinkLost, List<LinkReply>> = emptyList<LinkReply>().right()

        override fun close() = Unit
    }

    private companion object {
        const val DECISIONS = 20_000
        val ANSWER_TIME = 20.milliseconds
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
