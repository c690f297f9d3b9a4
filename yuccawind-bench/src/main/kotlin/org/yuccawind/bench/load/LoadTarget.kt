package org.yuccawind.bench.load

/** Destination of the generated statements. */
fun interface LoadTarget {
    /** Runs one statement on [connection]; returns false if it gave no result. */
    suspend fun run(connection: Int): Boolean
}
