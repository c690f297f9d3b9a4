package org.yuccawind.config

import org.yuccawind.core.config.Acknowledge
import org.yuccawind.core.config.BackendServerConfig
import org.yuccawind.core.config.ServiceConfig

private val NAME_PATTERN = Regex("[a-z][a-z0-9-]{0,62}")
private const val NAME_FORM = "expected a lower-case letter, then letters, digits or '-', up to 63"
private val GROUP_SIZE = 1..15
private val SLOTS = 1..10_000
private val CONNECTIONS = 1..100_000
private val QUEUE_LIMIT = 0..100_000
private val DEADLINE_MS = 1L..60_000L
private val AGE_MS = 0L..86_400_000L

/** The rules that every deployment must satisfy, and those that only give warnings. */
internal object DeploymentRules {
    fun errors(deployment: Deployment): List<ConfigIssue> = IssueList().apply {
        val names = deployment.services.map { it.name.value }
        for ((index, service) in deployment.services.withIndex()) {
            val path = "services[$index]"
            unique("$path.name", names, index)
            service(path, service)
        }
        addresses(deployment)
    }.issues

    fun warnings(deployment: Deployment): List<ConfigIssue> = IssueList().apply {
        for ((index, service) in deployment.services.withIndex()) {
            serviceWarnings("services[$index]", service)
        }
    }.issues

    private fun IssueList.service(path: String, service: ServiceConfig) {
        name("$path.name", service.name.value)
        range("$path.deadlineMs", service.deadlineMs, DEADLINE_MS)
        range("$path.queueLimit", service.queueLimit, QUEUE_LIMIT)
        group("$path.backendServers", service.backendServers)
        kinds("$path.readKinds", service)
    }

    private fun IssueList.group(path: String, servers: List<BackendServerConfig>) {
        if (servers.size !in GROUP_SIZE) {
            add(path, "found ${servers.size} servers, allowed ${text(GROUP_SIZE)}")
        }
        val names = servers.map { it.name.value }
        for ((index, server) in servers.withIndex()) {
            unique("$path[$index].name", names, index)
            server("$path[$index]", server)
        }
    }

    private fun IssueList.server(path: String, server: BackendServerConfig) {
        name("$path.name", server.name.value)
        name("$path.zone", server.zone.value)
        BackendAddress.validate(server.address)?.let { add("$path.address", it) }
        range("$path.slots", server.slots, SLOTS)
        range("$path.connections", server.connections, CONNECTIONS)
        if (server.slots > server.connections) {
            add(
                "$path.slots",
                "found ${server.slots}, but only ${server.connections} connections to use them"
            )
        }
    }

    private fun IssueList.kinds(path: String, service: ServiceConfig) {
        if (service.readKinds.isEmpty()) add(path, "found none, expected at least one")
        val names = service.readKinds.map { it.name }
        for ((index, kind) in service.readKinds.withIndex()) {
            unique("$path[$index].name", names, index)
            name("$path[$index].name", kind.name)
            kind.greatestAgeMs?.let { range("$path[$index].greatestAgeMs", it, AGE_MS) }
        }
    }

    private fun IssueList.addresses(deployment: Deployment) {
        val pathByAddress = HashMap<String, String>()
        for ((index, service) in deployment.services.withIndex()) {
            for ((serverIndex, server) in service.backendServers.withIndex()) {
                val path = "services[$index].backendServers[$serverIndex].address"
                val other = pathByAddress.putIfAbsent(server.address, path) ?: continue
                add(path, "found '${server.address}', which $other has already")
            }
        }
    }

    private fun IssueList.serviceWarnings(path: String, service: ServiceConfig) {
        val size = service.backendServers.size
        if (size > 0 && size % 2 == 0) {
            add(
                "$path.backendServers",
                "a group of $size tolerates no more server failures than one of ${size - 1}"
            )
        }
        if (size > 1 && service.backendServers.distinctBy { it.zone }.size == 1) {
            add("$path.backendServers", "all servers are in one availability zone")
        }
        if (service.acknowledge == Acknowledge.PRIMARY) {
            add("$path.acknowledge", "a change of primary may lose acknowledged writes")
        }
    }

    private fun IssueList.name(path: String, value: String) {
        if (!NAME_PATTERN.matches(value)) add(path, "found '$value', $NAME_FORM")
    }

    private fun IssueList.unique(path: String, names: List<String>, index: Int) {
        if (names.indexOf(names[index]) < index) add(path, "found '${names[index]}' twice")
    }

    private fun IssueList.range(path: String, value: Int, allowed: IntRange) {
        if (value !in allowed) add(path, "found $value, allowed ${text(allowed)}")
    }

    private fun IssueList.range(path: String, value: Long, allowed: LongRange) {
        if (value !in allowed) {
            add(path, "found $value, allowed ${allowed.first} to ${allowed.last}")
        }
    }

    private fun text(allowed: IntRange) = "${allowed.first} to ${allowed.last}"

    private class IssueList {
        val issues = ArrayList<ConfigIssue>()

        fun add(path: String, detail: String) {
            issues += ConfigIssue(path, detail)
        }
    }
}
