package org.yuccawind.bench.slopes

/**
 * Dimension of cluster growth along which the cost of an instance is measured.
 *
 * @property start size of the smaller cluster
 * @property end size of the larger cluster
 */
internal enum class Slope(val start: FleetSize, val end: FleetSize) {
    /** More services with the same instances. */
    SERVICES(FleetSize(2, 1, 3), FleetSize(2, 6, 3)),

    /** More instances with the same services. */
    PEERS(FleetSize(2, 1, 3), FleetSize(8, 1, 3)),

    /** More databases in one service. */
    DATABASES(FleetSize(2, 1, 3), FleetSize(2, 1, 7)),

    /** From a small cluster to the present size of the users' deployments. */
    TODAY(FleetSize(2, 1, 3), FleetSize(8, 6, 3));

    /** Number of units added between [start] and [end]. */
    val units: Int
        get() = when (this) {
            SERVICES -> end.services - start.services
            PEERS -> end.instances - start.instances
            DATABASES -> end.servers - start.servers
            TODAY -> end.services - start.services
        }
}
