package org.yuccawind.bench.slopes

/**
 * Size of a cluster at one measured point.
 *
 * @property instances number of entry instances
 * @property services number of services
 * @property servers number of databases of each service
 */
internal data class FleetSize(val instances: Int, val services: Int, val servers: Int) {
    override fun toString() = "n${instances}_s${services}_d$servers"
}
