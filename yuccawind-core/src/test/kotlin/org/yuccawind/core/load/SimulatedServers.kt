package org.yuccawind.core.load

import java.util.PriorityQueue
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.model.BackendServerName

/** Which server an instance sends a statement to, given the statements in progress of its own. */
internal fun interface Policy {
    fun choose(run: Simulation, instance: Int): Int
}

/** How a server treats statements. */
internal data class ServerModel(
    val slots: Int = SLOTS,
    val slowdown: Double = 1.0,
    val kneeAt: Int = SLOTS,
    val crowding: Double = 1.0,
    val failing: Double = 0.0
)

internal const val SLOTS = 4

private val LEARN = 200.milliseconds
private val STEP = 0.25.milliseconds

/**
 * Three servers, statements of two kinds at random times, and instances that choose a server. Above
 * its knee a server needs more time for each statement that it works on.
 *
 * @param isPooled true if all instances learn from the answers of all
 */
internal class Simulation(
    val instances: Int,
    private val policy: Policy,
    private val perSecond: Double,
    private val isPooled: Boolean = true,
    private val areKindsTold: Boolean = true,
    private val newLearner: () -> LimitLearner = { LimitLearner() },
    seed: Int = 1
) {
    val random = Random(seed)
    val models = MutableList(NAMES.size) { ServerModel() }
    private val observers = List(if (isPooled) 1 else instances) { Observer() }
    val inFlight = List(instances) { IntArray(NAMES.size) }
    private val queues = List(NAMES.size) { ArrayDeque<Work>() }
    private val running = List(NAMES.size) { ArrayList<Work>() }
    private var nextArrival = 0.0
    private var nowMs = 0.0
    private var sinceLearned = Duration.ZERO

    /** Share of the long kind among the statements. */
    var longShare = 0.2

    /** Finished statements since the last [resetCounts], and those within [GOAL_MS]. */
    var finished = 0
        private set
    var inGoal = 0
        private set
    val sentTo = IntArray(NAMES.size)

    fun learnerOf(instance: Int, server: Int) = observerOf(instance).learners[server]

    fun candidates(instance: Int) = NAMES.indices.map { server ->
        val view = observerOf(instance).views[server].first()
        Placement.Candidate(
            server,
            view,
            view.failedShare,
            ownDemand = inFlight[instance][server],
            distance = Duration.ZERO
        )
    }

    fun resetCounts() {
        finished = 0
        inGoal = 0
        sentTo.fill(0)
    }

    fun run(seconds: Double, onLearned: () -> Unit = {}) {
        val end = nowMs + seconds * 1_000
        while (nowMs < end) {
            step()
            sinceLearned += STEP
            if (sinceLearned < LEARN) continue
            observers.forEach { it.learn() }
            sinceLearned = Duration.ZERO
            onLearned()
        }
    }

    private fun observerOf(instance: Int) = observers[if (isPooled) 0 else instance]

    private fun step() {
        val stepMs = STEP.inWholeMicroseconds / 1_000.0
        nowMs += stepMs
        while (nextArrival <= nowMs) {
            arrive()
            nextArrival += -ln(1 - random.nextDouble()) * 1_000 / perSecond
        }
        for (server in NAMES.indices) {
            val model = models[server]
            while (running[server].size < model.slots && queues[server].isNotEmpty()) {
                running[server] += queues[server].removeFirst()
            }
            val crowding = maxOf(1.0, running[server].size.toDouble() / model.kneeAt)
            val progress = stepMs / model.slowdown / crowding.pow(model.crowding)
            running[server].forEach { it.leftMs -= progress }
            val done = running[server].filter { it.leftMs <= 0 }
            running[server].removeAll(done.toSet())
            done.forEach { finish(it, server) }
        }
    }

    private fun arrive() {
        val instance = random.nextInt(instances)
        val server = policy.choose(this, instance)
        val isLong = random.nextDouble() < longShare
        val mean = if (isLong) LONG_MS else SHORT_MS
        sentTo[server]++
        inFlight[instance][server]++
        queues[server] += Work(instance, isLong, nowMs, mean * logNormal())
    }

    private fun logNormal() = exp(SPREAD * gaussian() - SPREAD * SPREAD / 2)

    private fun gaussian() = (1..TERMS).sumOf { random.nextDouble() } - TERMS / 2

    private fun finish(work: Work, server: Int) {
        inFlight[work.instance][server]--
        val elapsed = nowMs - work.startedMs
        val tally = observerOf(work.instance).tallies[server]
        finished++
        if (random.nextDouble() < models[server].failing) {
            tally.addFailures(1)
            return
        }
        if (elapsed <= GOAL_MS) inGoal++
        val kind = if (areKindsTold && work.isLong) LoadKind("long") else LoadKind("short")
        tally.addAnswer(kind, 1, (elapsed * 1_000).toLong())
    }

    private inner class Observer {
        val learners = List(NAMES.size) { newLearner() }
        val tallies = List(NAMES.size) { ServerTally() }
        val speed = RelativeSpeed()
        val views = List(NAMES.size) {
            ArrayDeque(listOf(ServerLoad(SLOTS.toDouble(), 0.0, 0.0, START)))
        }

        /** Periods until the instances use what was learned: a report and a reply in between. */
        private val viewAge = if (instances == 1 || !isPooled) 1 else SHARED_VIEW_AGE

        fun learn() {
            for (server in NAMES.indices) {
                val counters = tallies[server].take(NAMES[server], ServerState.IDLE)
                learners[server].learn(counters, LEARN, SLOTS)
            }
            speed.update(learners, LEARN)
            for ((server, learner) in learners.withIndex()) {
                views[server] += ServerLoad(
                    learner.limit,
                    learner.inProgress,
                    0.0,
                    START,
                    speed.answerTime(learner) ?: SHORT_MS.milliseconds,
                    learner.failedShare,
                    learner.occupied
                )
                if (views[server].size > viewAge) views[server].removeFirst()
            }
        }
    }

    private class Work(
        val instance: Int,
        val isLong: Boolean,
        val startedMs: Double,
        var leftMs: Double
    )

    companion object {
        val NAMES = listOf("a", "b", "c").map(::BackendServerName)
        const val GOAL_MS = 100.0
        const val SHORT_MS = 10.0
        const val LONG_MS = 40.0
        private val START = TimeSource.Monotonic.markNow()
        private const val SPREAD = 0.6
        private const val TERMS = 12
        private const val SHARED_VIEW_AGE = 4

        val LEARNED = Policy { run, instance ->
            Placement.order(run.candidates(instance), run.random).first()
        }
        val FIXED_WEIGHTS = Policy { run, _ -> run.random.nextInt(NAMES.size) }
        val LEAST_IN_FLIGHT = Policy { run, instance ->
            NAMES.indices.shuffled(run.random).minBy { run.inFlight[instance][it] }
        }
    }
}
