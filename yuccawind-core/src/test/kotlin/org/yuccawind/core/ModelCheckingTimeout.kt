package org.yuccawind.core

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions

/** Time after which an invocation counts as hung. Deadlocks are detected without waiting for it. */
private const val TIMEOUT_MS = 120_000L

/**
 * Raises Lincheck's default timeout per invocation. The timeout includes instrumenting the classes
 * that an invocation is the first to use, which exceeded the default on a loaded machine. The
 * setting is internal to Lincheck, hence the reflective call.
 */
internal fun ModelCheckingOptions.withRaisedTimeout(): ModelCheckingOptions = apply {
    javaClass.getMethod("invocationTimeout\$lincheck", Long::class.java).invoke(this, TIMEOUT_MS)
}
