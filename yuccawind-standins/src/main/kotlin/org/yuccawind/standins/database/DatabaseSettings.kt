package org.yuccawind.standins.database

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Capacity and delays of a database stand-in.
 *
 * @property slots maximum concurrent statements; 2 by default
 * @property connections maximum open connections; 16 by default
 * @property connectionTime time to open a connection; 10 ms by default
 * @property statementTime time for which a statement holds its slot; zero by default
 * @property lag replication lag; 20 ms by default
 * @property syncReplicas number of replicas that receive a commit before it is acknowledged; 0 by
 *   default
 */
data class DatabaseSettings(
    val slots: Int = 2,
    val connections: Int = 16,
    val connectionTime: Duration = 10.milliseconds,
    val statementTime: Duration = Duration.ZERO,
    val lag: Duration = 20.milliseconds,
    val syncReplicas: Int = 0
)
