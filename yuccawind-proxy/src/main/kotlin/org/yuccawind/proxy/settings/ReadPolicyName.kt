package org.yuccawind.proxy.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.yuccawind.core.read.ReadPolicy

/** Name of a read policy in the settings. */
@Serializable
enum class ReadPolicyName(internal val policy: ReadPolicy) {
    /** The server with the lowest predicted latency; replicas are preferred. */
    @SerialName("predicted")
    PREDICTED(ReadPolicy.Predicted()),

    /** All reads go to the primary. */
    @SerialName("primary-only")
    PRIMARY_ONLY(ReadPolicy.PrimaryOnly),

    /** The nearest replica that is fresh enough; does not wait for a replica to catch up. */
    @SerialName("replica-without-wait")
    REPLICA_WITHOUT_WAIT(ReadPolicy.ReplicaWithoutWait)
}
