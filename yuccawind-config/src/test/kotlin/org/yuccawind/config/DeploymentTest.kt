package org.yuccawind.config

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlin.time.Duration.Companion.seconds
import org.junit.jupiter.api.Test

class DeploymentTest {
    private fun validDeployment(slotsOfLast: Int = 2, kindAgeSeconds: Int = 1) = deployment {
        for ((index, name) in listOf("routing", "pairing").withIndex()) {
            service(name) {
                readKind("lesson", greatestAge = kindAgeSeconds.seconds)
                readKind("default")
                for (number in 3 downTo 1) {
                    backendServer("$name-$number") {
                        zone = "zone-$number"
                        address = "10.0.$index.$number:5432"
                        if (number == 3) slots = slotsOfLast
                    }
                }
            }
        }
    }

    @Test
    fun `YAML output is sorted, stable and can be parsed again`() {
        val text = validDeployment().toYaml()
        val parsed = Deployment.parse(text).getOrNull()!!
        parsed shouldBe validDeployment()
        parsed.toYaml() shouldBe text
        parsed.services.map { it.name.value } shouldBe listOf("pairing", "routing")
    }

    @Test
    fun `a field changed in two servers changes two lines of the YAML`() {
        val old = validDeployment().toYaml().lines()
        val new = validDeployment(slotsOfLast = 4).toYaml().lines()
        old.zip(new).count { it.first != it.second } shouldBe 2
        old.size shouldBe new.size
    }

    @Test
    fun `all errors of a text are reported with their paths`() {
        val text = """
            services:
              - name: "Pairing"
                deadlineMs: soon
                colour: red
                queueLimit: -1
                acknowledge: "SOMETIMES"
                readKinds: []
                backendServers:
                  - name: "a"
                    zone: "Zone A"
                    address: "db.example:5432"
                    slots: 0
                  - name: "a"
                    zone: "b"
                    address: "10.0.0.1:99999"
                    connections: 1
                  - zone: "c"
                    address: "10.0.0.1:99999"
              - name: "empty"
                backendServers: []
        """.trimIndent()
        val first = "services[0].backendServers"
        Deployment.parse(text).leftOrNull()!!.map { it.path } shouldContainExactlyInAnyOrder listOf(
            "services[0].name",
            "services[0].deadlineMs",
            "services[0].colour",
            "services[0].queueLimit",
            "services[0].acknowledge",
            "services[0].readKinds",
            "$first[0].zone",
            "$first[0].address",
            "$first[0].slots",
            "$first[1].name",
            "$first[1].address",
            "$first[1].slots",
            "$first[2].name",
            "$first[2].address",
            "$first[2].address",
            "services[1].backendServers"
        )
    }

    @Test
    fun `invalid YAML is reported with its line`() {
        Deployment.parse("services: [").leftOrNull()!!.single().line shouldBe 1
    }

    @Test
    fun `the builder throws an exception that lists all errors`() {
        val thrown = shouldThrow<IllegalArgumentException> {
            deployment { service("x") { readKind("k", greatestAge = (-1).seconds) } }
        }
        thrown.message.orEmpty() shouldContain "services[0].backendServers: found 0 servers"
        thrown.message.orEmpty() shouldContain "services[0].readKinds[0].greatestAgeMs: found -1000"
    }

    @Test
    fun `a plan lists the changed fields and the kept services`() {
        val desired = Deployment(validDeployment(kindAgeSeconds = 2).services.take(1))
        val plan = DeploymentPlan.of(validDeployment().services, desired, delete = false)
        plan.steps.single().lines shouldBe
            listOf("~ readKinds[lesson].greatestAgeMs: 1000 -> 2000")
        plan.kept.map { it.value } shouldBe listOf("routing")
        DeploymentPlan.of(
            validDeployment().services,
            desired,
            delete = true
        ).steps.last().service.value shouldBe
            "routing"
    }
}
