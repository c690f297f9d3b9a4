package org.yuccawind.core.port

/** Structured log of routing and placement decisions, one event per decision. */
fun interface DecisionLog {
    /** Records [event] with its [fields]; the order of the fields is kept. */
    fun record(event: String, vararg fields: Pair<String, Any?>)

    companion object {
        /** Discards every event. */
        val NONE = DecisionLog { _, _ -> }
    }
}
