package org.yuccawind.standins.scenario

import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import org.junit.jupiter.api.Test
import org.yuccawind.core.config.ReadKind
import org.yuccawind.core.config.RecordOrigin
import org.yuccawind.core.config.ServiceConfig
import org.yuccawind.core.config.ServiceRecord
import org.yuccawind.core.model.InstanceId
import org.yuccawind.core.model.RequestId
import org.yuccawind.core.result.ResultCode
import org.yuccawind.core.service.ServiceDirectory
import org.yuccawind.core.transaction.TransactionHandle
import org.yuccawind.standins.database.DatabaseSettings

@OptIn(ExperimentalCoroutinesApi::class)
class ConfigInForceTest {
    @Test
    fun `smaller limits let an open transaction finish and close surplus connections`() = runTest {
        val group = VirtualGroup(this, instances = 0).apply { start() }
        val directory = directory(this, group).apply { put(1, group.config) }
        val handle = begin(directory, group)
        val small = group.config.backendServers.map { it.copy(connections = 2, slots = 1) }
        directory.put(2, group.config.copy(backendServers = small))
        delay(3.seconds)
        commit(directory, group, handle) shouldBe ResultCode.OK
        delay(3.seconds)
        group.nodes.forEach { it.status().openConnections shouldBeLessThanOrEqual 2 }
    }

    @Test
    fun `a write in progress finishes when its service is deleted`() = runTest {
        val settings = DatabaseSettings(statementTime = 300.milliseconds)
        val group = VirtualGroup(this, settings, instances = 0).apply { start() }
        val directory = directory(this, group).apply { put(1, group.config) }
        val name = group.config.name
        directory.use(name) { group.write(it, "r0", "put k v") }!!.isRight() shouldBe true
        val write = async { directory.use(name) { group.write(it, "r1", "append k a") } }
        runCurrent()
        directory.put(2, null)
        directory.find(name).shouldBeNull()
        directory.use(name) { it }.shouldBeNull()
        write.await()!!.getOrNull()?.code shouldBe ResultCode.OK
        delay(3.seconds)
        group.nodes.forEach { it.status().openConnections shouldBe 0 }
    }

    @Test
    fun `an open transaction commits after a server is removed from its group`() = runTest {
        val group = VirtualGroup(this, instances = 0).apply { start() }
        val directory = directory(this, group).apply { put(1, group.config) }
        val handle = begin(directory, group)
        directory.put(2, group.config.copy(backendServers = group.config.backendServers.take(2)))
        commit(directory, group, handle) shouldBe ResultCode.OK
    }

    @Test
    fun `evidence is kept when the age limit of a read kind changes`() = runTest {
        val group = VirtualGroup(this, instances = 0).apply { start() }
        val directory = directory(this, group).apply { put(1, group.config) }
        val name = group.config.name
        directory.use(name) { group.write(it, "r0", "put k v") }
        directory.put(2, group.config.copy(readKinds = listOf(ReadKind("second", 2_000))))
        val runtime = directory.find(name)!!
        runtime.revision shouldBe 2
        runtime.config.readKind("second")?.greatestAgeMs shouldBe 2_000
        runtime.context.evidence.newestCertificate().shouldNotBeNull()
    }

    private fun directory(test: TestScope, group: VirtualGroup) =
        ServiceDirectory(group.context(InstanceId("proxy-1"), 0), test.backgroundScope)

    private fun ServiceDirectory.put(revision: Long, config: ServiceConfig?) = install(
        config?.name ?: records().keys.single(),
        ServiceRecord(revision, config, "op", "n$revision"),
        RecordOrigin.PLATFORM
    )

    private suspend fun TestScope.begin(
        directory: ServiceDirectory,
        group: VirtualGroup
    ): TransactionHandle {
        val name = group.config.name
        val deadline = testTimeSource.markNow() + 5.seconds
        val handle = directory.use(name) { it.transactions.begin(deadline) }!!.getOrNull()!!
        directory.use(name, handle) { it.transactions.execute(handle, "put k v") }
        return handle
    }

    private suspend fun TestScope.commit(
        directory: ServiceDirectory,
        group: VirtualGroup,
        handle: TransactionHandle
    ): ResultCode? {
        val deadline = testTimeSource.markNow() + 5.seconds
        val result = directory.use(group.config.name, handle) {
            it.transactions.commit(handle, RequestId("c1"), it.writes, deadline)
        }
        return result?.fold({ it.code }, { it.code })
    }
}
