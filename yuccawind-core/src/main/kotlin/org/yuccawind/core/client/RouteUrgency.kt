package org.yuccawind.core.client

import kotlin.time.ComparableTimeMark
import org.yuccawind.core.link.LinkUrgency
import org.yuccawind.core.load.LoadKind
import org.yuccawind.core.route.Route
import org.yuccawind.core.workspace.Caller

/** Returns the urgency of an operation of [caller] on this route that arrived at [arrivedAt]. */
internal fun Route.urgency(arrivedAt: ComparableTimeMark, caller: Caller) =
    LinkUrgency(arrivedAt + targetLatency, priority, caller, LoadKind(database), arrivedAt)
