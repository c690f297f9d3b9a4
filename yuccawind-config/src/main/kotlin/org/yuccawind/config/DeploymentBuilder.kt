package org.yuccawind.config

import org.yuccawind.core.config.ServiceConfig

/** Builds a [Deployment]; throws [IllegalArgumentException] listing all validation errors. */
fun deployment(block: DeploymentBuilder.() -> Unit): Deployment {
    val deployment = DeploymentBuilder().apply(block).build()
    val errors = deployment.errors()
    require(errors.isEmpty()) { errors.joinToString("\n") }
    return deployment.sorted()
}

/** Builds a deployment from its services. */
@ConfigDsl
class DeploymentBuilder internal constructor() {
    private val services = ArrayList<ServiceConfig>()

    /** Adds the service [name]. */
    fun service(name: String, block: ServiceBuilder.() -> Unit) {
        services += ServiceBuilder(name).apply(block).build()
    }

    internal fun build() = Deployment(services.toList())
}

/** Prevents a nested builder from implicitly using the receiver of an outer one. */
@DslMarker
annotation class ConfigDsl
