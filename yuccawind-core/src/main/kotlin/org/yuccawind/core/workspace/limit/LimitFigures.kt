package org.yuccawind.core.workspace.limit

/**
 * Decisions on one workspace's operations since the start of the instance.
 *
 * @property asked operations that clients sent
 * @property refused operations that were refused by the limit
 */
data class LimitFigures(val asked: Long, val refused: Long)
