package org.yuccawind.standins.scenario

import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import org.yuccawind.core.membership.ClusterView
import org.yuccawind.core.membership.Member
import org.yuccawind.core.model.BackendServerName
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.ServiceName

/** A [ClusterView] whose state is set by tests. */
class TestClusterView(private val listed: List<Member>) : ClusterView {
    val leavingSince = HashMap<BackendServerName, ComparableTimeMark>()
    var witness: InstanceId? = null
    var transactions = 0

    override fun members() = listed

    override fun leavingFor(server: BackendServerName): Duration? =
        leavingSince[server]?.elapsedNow()

    override fun peerWithCertificate(service: ServiceName, age: Duration) = witness

    override fun openTransactions(service: ServiceName) = transactions
}
