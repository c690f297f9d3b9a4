package org.yuccawind.proxy.metrics

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit
import org.yuccawind.core.result.Outcome
import org.yuccawind.core.result.ResultCode

private val LATENCY_BUCKETS_SECONDS =
    doubleArrayOf(0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 15.0)

/**
 * The counters and histograms of one instance. Label values come only from sealed types, result
 * codes and the configuration, so the number of time series is bounded.
 *
 * @property registry registry of all metrics of the instance
 */
internal class Metrics(val registry: PrometheusRegistry = PrometheusRegistry()) {
    private val requests = counter(
        "yuccawind_requests_total",
        "Requests of callers by operation and outcome: ran, not_run or unknown.",
        "operation",
        "outcome"
    )
    private val refusals = counter(
        "yuccawind_refusals_total",
        "Requests answered without a result, by result code.",
        "code"
    )
    private val requestTimes = histogram(
        "yuccawind_request_seconds",
        "Time from a request's arrival to its answer, in seconds.",
        "operation"
    )
    private val reads = counter(
        "yuccawind_reads_total",
        "Reads served, by role of the backend server that answered.",
        "role"
    )
    private val rejectedReads = counter(
        "yuccawind_read_answers_rejected_total",
        "Answers that were too old for their read, by role of the backend server.",
        "role"
    )
    private val promotionPhases = counter(
        "yuccawind_failover_phases_total",
        "Phases that promotions of this instance reached.",
        "phase"
    )
    private val platformCalls = counter(
        "yuccawind_platform_calls_total",
        "Calls to the platform; a waiting watch counts once.",
        "operation",
        "result"
    )
    private val platformTimes = histogram(
        "yuccawind_platform_call_seconds",
        "Time of calls to the platform in seconds, waiting watches left out.",
        "operation"
    )
    private val peerCalls = counter(
        "yuccawind_peer_calls_total",
        "Calls to other instances.",
        "message",
        "result"
    )
    private val controlBytes = counter(
        "yuccawind_control_bytes_total",
        "Message bodies of control traffic in bytes, without transport headers.",
        "channel",
        "direction"
    )
    private val events = counter("yuccawind_events_total", "Log events.", "event")

    /** Records a completed caller request; [refusal] is null if the request succeeded. */
    fun recordRequest(operation: String, refusal: ResultCode?, elapsed: Duration) {
        val outcome = refusal?.outcome ?: Outcome.RAN
        requests.labelValues(operation, outcome.name.lowercase()).inc()
        if (refusal != null) refusals.labelValues(refusal.name).inc()
        requestTimes.labelValues(operation).observe(elapsed.toDouble(DurationUnit.SECONDS))
    }

    /** Records an answer to a read; [accepted] is false if its data was too old. */
    fun recordRead(role: String, accepted: Boolean) {
        val counter = if (accepted) reads else rejectedReads
        counter.labelValues(role).inc()
    }

    /** Records that a promotion reached [phase]. */
    fun recordPromotionPhase(phase: String) = promotionPhases.labelValues(phase).inc()

    /** Records a call to the platform; [elapsed] is null for a watch, which is not timed. */
    fun recordPlatformCall(operation: String, result: String, elapsed: Duration?) {
        platformCalls.labelValues(operation, result).inc()
        if (elapsed == null) return
        platformTimes.labelValues(operation).observe(elapsed.toDouble(DurationUnit.SECONDS))
    }

    /** Records a call to another instance. */
    fun recordPeerCall(message: String, result: String) =
        peerCalls.labelValues(message, result).inc()

    /** Records a log event. */
    fun recordEvent(event: String) = events.labelValues(event).inc()

    /** Returns a counter of the control traffic on [channel]. */
    fun traffic(channel: String): TrafficCounter {
        val sent = controlBytes.labelValues(channel, "sent")
        val received = controlBytes.labelValues(channel, "received")
        return object : TrafficCounter {
            override fun countSent(bytes: Int) = sent.inc(bytes.toLong())

            override fun countReceived(bytes: Int) = received.inc(bytes.toLong())
        }
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private fun histogram(name: String, help: String, vararg labels: String): Histogram =
        Histogram.builder().name(name).help(help).labelNames(*labels)
            .classicOnly().classicUpperBounds(*LATENCY_BUCKETS_SECONDS).register(registry)
}
