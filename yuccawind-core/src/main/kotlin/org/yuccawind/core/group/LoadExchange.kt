package org.yuccawind.core.group

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.yuccawind.core.load.GroupLoad
import org.yuccawind.core.load.LoadReport
import org.yuccawind.core.load.ServerLoad
import org.yuccawind.core.load.ServerState
import org.yuccawind.core.load.ServerView
import org.yuccawind.core.model.BackendServerName

/** Interval between the reports of a home. */
private val REPORT_PERIOD = 600.milliseconds

/**
 * Exchanges with the other instances what is known of the load of a group's servers. Confined to
 * the event loop of its context.
 *
 * Instances that are not homes report with their requests for proofs. A home reports to the first
 * home of its zone, and this one, for its zone, to the first home of all. Each gets the load back
 * as the receiver knows it.
 */
internal class LoadExchange(private val group: ServerGroup, private val context: GroupContext) {
    /** What is known of the servers. */
    val load = GroupLoad(
        group.service.value,
        context.fleet.self.name,
        context.time,
        context.log
    )
    private val isEnabled = context.learnsServerLimits
    private var reporting: Job? = null
    private var reportedAt: ComparableTimeMark = context.time.markNow()

    /** Learns and reports if it is due, and sets the load of the servers. */
    fun maintain() {
        if (!isEnabled) return
        load.discardBefore(context.suspensions.resumedAt())
        if (group.isHome) {
            load.learn(states(), group.servers.associate { it.name to it.member.slots })
            reportIfDue()
        }
        group.servers.forEach { it.load = load.loadOf(it.name) }
    }

    /** Returns the report to send with a request for a proof; null if there is nothing to tell. */
    fun takeReport(): LoadReport? {
        if (!isEnabled) return null
        load.discardBefore(context.suspensions.resumedAt())
        return load.takeReport(states(), passesOn = false)
    }

    /** Takes in the [report] of another instance. */
    fun receive(report: LoadReport) {
        if (!isEnabled) return
        load.discardBefore(context.suspensions.resumedAt())
        load.receive(report, group.servers.mapTo(HashSet()) { it.name })
    }

    /** Takes in what another instance knows of the servers. */
    fun accept(loads: Map<BackendServerName, ServerLoad>) {
        if (isEnabled) load.accept(loads)
    }

    /** Returns what is known of the servers, for another instance. */
    fun views(): List<ServerView> {
        load.discardBefore(context.suspensions.resumedAt())
        return group.servers.mapNotNull { server ->
            load.loadOf(server.name)?.let { ServerView.of(server.name, it) }
        }
    }

    private fun states() = group.servers.associate {
        it.name to ServerState(it.inFlight, it.waiting)
    }

    private fun reportIfDue() {
        if (reporting?.isActive == true || reportedAt.elapsedNow() < REPORT_PERIOD) return
        reportedAt = context.time.markNow()
        val homes = context.fleet.homesOf(group.service, group.settings.maxConnections)
        val target = context.homes.loadReceiver(homes)
        val report = load.takeReport(states(), passesOn = target?.isOfZone != true)
        if (target == null || report == null) return
        reporting = context.scope.launch {
            context.homes.report(target.home, group.service, report)?.let(::accept)
        }
    }
}
