package org.yuccawind.core.membership

import kotlin.time.Duration
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName

/** A cluster view without reports from peers; the members are those that [listed] returns. */
class StaticClusterView(private val listed: () -> List<Member>) : ClusterView {
    override fun members(): List<Member> = listed()

    override fun leavingFor(server: BackendServerName): Duration? = null

    override fun peerWithCertificate(service: ServiceName, age: Duration): InstanceId? = null

    override fun openTransactions(service: ServiceName): Int = 0
}
