package org.yuccawind.core.load

import kotlin.math.abs
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.port.DecisionLog

/** Minimum length of the period after which the limits are learned anew. */
private val LEARN_PERIOD = 200.milliseconds

/** Age above which the state that another instance reported is left out. */
private val REPORT_TTL = 2_000.milliseconds

/** Instances whose state is kept. */
private const val MAX_REPORTERS = 256

/** Largest number of answers in a report that is taken for real. */
private const val MAX_REPORTED = 1_000_000

/** Longest mean answer time in a report that is taken for real, in microseconds. */
private const val MAX_MEAN_US = 60_000_000L

/** Relative and absolute change of a limit from which it is logged. */
private const val LOGGED_CHANGE = 0.25
private const val LOGGED_STEP = 0.75

/** Minimum time between two log lines on the limit of one server. */
private val LOG_PERIOD = 1_000.milliseconds

/**
 * What this instance knows of the load of a service's servers: its own figures, those that others
 * reported, the limits learned from both, and the views received from a home. Confined to the event
 * loop of its group.
 *
 * @param self name of this instance
 */
internal class GroupLoad(
    private val service: String,
    private val self: String,
    private val time: TimeSource.WithComparableMarks,
    private val log: DecisionLog
) {
    private val servers = LinkedHashMap<BackendServerName, Entry>()
    private val speed = RelativeSpeed()
    private var periodSince = time.markNow()
    private var reliableSince = periodSince

    /** Keeps the [names], and forgets all other servers. */
    fun retain(names: Set<BackendServerName>) {
        servers.keys.retainAll(names)
    }

    /** Records that [server] answered a statement of [kind] sent at [sentAt]. */
    fun recordAnswer(server: BackendServerName, kind: LoadKind, sentAt: ComparableTimeMark) {
        if (sentAt < reliableSince) return
        val elapsedUs = sentAt.elapsedNow().inWholeMicroseconds
        tallies(server).forEach { it.addAnswer(kind, 1, elapsedUs) }
    }

    /** Records that a statement sent to [server] at [sentAt] failed or was not answered. */
    fun recordFailure(server: BackendServerName, sentAt: ComparableTimeMark) {
        if (sentAt < reliableSince) return
        tallies(server).forEach { it.addFailures(1) }
    }

    /** Records that [server] refused a statement for lack of room. */
    fun recordRefusal(server: BackendServerName) = tallies(server).forEach { it.addRefusals(1) }

    /** Drops what was measured across a suspension of this process that ended at [resumedAt]. */
    fun discardBefore(resumedAt: ComparableTimeMark) {
        if (resumedAt <= reliableSince) return
        reliableSince = resumedAt
        periodSince = time.markNow()
        servers.values.forEach { it.discard() }
    }

    /** Takes in a [report] on the servers in [known]; figures out of range are dropped. */
    fun receive(report: LoadReport, known: Set<BackendServerName>) {
        if (report.reporter == self) return
        for (counters in report.servers.filter { it.server in known && isPlausible(it) }) {
            val entry = entry(counters.server)
            entry.toLearn.add(counters)
            if (!report.isGathered) entry.toReport.add(counters)
            if (report.reporter !in entry.reports && entry.reports.size >= MAX_REPORTERS) continue
            val state = ServerState(counters.inProgress, counters.waiting)
            entry.reports[report.reporter] = Reported(state, report.isGathered, time.markNow())
        }
    }

    /**
     * Returns the report to send, with the state of each server [own] at this instance; null if
     * there is nothing to tell. A home [passesOn] what others of its zone reported to it.
     */
    fun takeReport(own: Map<BackendServerName, ServerState>, passesOn: Boolean): LoadReport? {
        val taken = own.mapNotNull { (server, state) ->
            val entry = entry(server)
            val others = if (passesOn) entry.stateOfOthers(includeGathered = false) else IDLE
            val total = state + others
            val isQuiet = entry.toReport.isEmpty && total == IDLE
            if (isQuiet) null else entry.toReport.take(server, total)
        }
        return if (taken.isEmpty()) null else LoadReport(self, passesOn, taken)
    }

    /**
     * Learns the limits anew if a period is over, given the state of each server [own] at this
     * instance and its registered [slots].
     */
    fun learn(own: Map<BackendServerName, ServerState>, slots: Map<BackendServerName, Int>) {
        val length = periodSince.elapsedNow()
        if (length < LEARN_PERIOD) return
        periodSince = time.markNow()
        for ((server, state) in own) {
            val entry = entry(server)
            val counters = entry.toLearn.take(server, state)
            entry.learner.learn(counters, length, slots.getValue(server))
        }
        speed.update(servers.values.map { it.learner }, length)
        for ((server, state) in own) {
            val entry = entry(server)
            entry.learned = entry.toLoad(state)
            logChange(server, entry)
        }
    }

    /** Takes in [loads] that a home sent. */
    fun accept(loads: Map<BackendServerName, ServerLoad>) {
        for ((server, load) in loads) {
            val entry = entry(server)
            val isNewer = entry.received?.let { load.observedAt > it.observedAt } ?: true
            if (isNewer && load.observedAt >= reliableSince) entry.received = load
        }
    }

    /** Returns the newest load of [server] from all instances, else the one learned here. */
    fun loadOf(server: BackendServerName): ServerLoad? {
        val entry = servers[server] ?: return null
        return entry.received?.takeIf(::isYoung) ?: entry.learned?.takeIf(::isYoung)
    }

    private fun isYoung(load: ServerLoad) = load.observedAt.elapsedNow() <= MAX_AGE

    private fun entry(server: BackendServerName) = servers.getOrPut(server) { Entry() }

    private fun tallies(server: BackendServerName) =
        entry(server).let { listOf(it.toLearn, it.toReport) }

    private fun isPlausible(counters: ServerCounters): Boolean {
        val counts = listOf(
            counters.failed,
            counters.refused,
            counters.inProgress,
            counters.waiting
        ) + counters.kinds.map { it.answered }
        return counts.all { it in 0..MAX_REPORTED } &&
            counters.kinds.all { it.totalUs in 0..it.answered * MAX_MEAN_US }
    }

    private fun logChange(server: BackendServerName, entry: Entry) {
        val limit = entry.learner.limit
        val before = entry.loggedLimit ?: limit.also { entry.loggedLimit = it }
        val change = abs(limit - before)
        if (change < LOGGED_STEP || change < LOGGED_CHANGE * before) return
        if (entry.loggedAt?.let { it.elapsedNow() < LOG_PERIOD } == true) return
        entry.loggedLimit = limit
        entry.loggedAt = time.markNow()
        log.record(
            "server_limit_changed",
            "service" to service,
            "server" to server,
            "before" to "%.1f".format(before),
            "limit" to "%.1f".format(limit),
            "in_progress" to "%.1f".format(entry.learner.inProgress),
            "answer_ms" to speed.answerTime(entry.learner)?.inWholeMilliseconds,
            "failed_share" to "%.2f".format(entry.learner.failedShare)
        )
    }

    /** Figures of one server. */
    private inner class Entry {
        val learner = LimitLearner()
        val toLearn = ServerTally()
        val toReport = ServerTally()
        val reports = HashMap<String, Reported>()
        var learned: ServerLoad? = null
        var received: ServerLoad? = null
        var loggedLimit: Double? = null
        var loggedAt: ComparableTimeMark? = null

        fun stateOfOthers(includeGathered: Boolean): ServerState {
            reports.values.removeIf { it.at.elapsedNow() > REPORT_TTL }
            return reports.values.filter { includeGathered || !it.isGathered }
                .fold(IDLE) { sum, report -> sum + report.state }
        }

        fun toLoad(own: ServerState): ServerLoad? {
            val answerTime = speed.answerTime(learner) ?: return null
            val waiting = own.waiting + stateOfOthers(includeGathered = true).waiting
            return ServerLoad(
                learner.limit,
                learner.inProgress,
                waiting.toDouble(),
                time.markNow(),
                answerTime,
                learner.failedShare,
                learner.occupied
            )
        }

        fun discard() {
            toLearn.clear()
            toReport.clear()
            reports.clear()
            learner.discardRecent()
            learned = null
            received = null
        }
    }

    private class Reported(
        val state: ServerState,
        val isGathered: Boolean,
        val at: ComparableTimeMark
    )

    companion object {
        /** Age above which a load says nothing of the present. */
        val MAX_AGE: Duration = 2_000.milliseconds

        private val IDLE = ServerState.IDLE
    }
}
