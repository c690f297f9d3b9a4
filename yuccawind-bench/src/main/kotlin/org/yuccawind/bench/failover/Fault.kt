package org.yuccawind.bench.failover

/**
 * Fault that a run injects at the primary of its service.
 *
 * @property option value of the `--fault` option
 * @property expectedPromotions number of promotions that the fault requires
 */
internal enum class Fault(val option: String, val expectedPromotions: Int = 1) {
    /** The process is killed. */
    KILL("kill"),

    /** The availability zone of the primary is isolated from the others for ten seconds. */
    PARTITION("partition"),

    /** The process is suspended for ten seconds. */
    FREEZE("freeze"),

    /** The platform's instance list marks the primary as leaving. */
    LEAVE("leave"),

    /** The process is killed during a platform outage of three seconds. */
    PLATFORM_DOWN_TOO("platform-down-too"),

    /** No fault. */
    NONE("none", 0)
}
