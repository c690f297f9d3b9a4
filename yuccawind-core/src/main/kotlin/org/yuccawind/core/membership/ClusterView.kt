package org.yuccawind.core.membership

import kotlin.time.Duration
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName

/** One instance's view of the other instances and of the platform's instance list. */
interface ClusterView {
    /** Returns the live instances that are not leaving, including this one. */
    fun members(): List<Member>

    /**
     * Returns for how long the instance list has shown [server] as leaving without interruption, or
     * null if it does not.
     */
    fun leavingFor(server: BackendServerName): Duration?

    /** Returns a peer whose newest certificate for [service] is younger than [age], or null. */
    fun peerWithCertificate(service: ServiceName, age: Duration): InstanceId?

    /** Returns the number of open transactions of [service] that live peers report. */
    fun openTransactions(service: ServiceName): Int
}
