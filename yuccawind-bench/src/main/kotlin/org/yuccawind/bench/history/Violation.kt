package org.yuccawind.bench.history

/** Invariant that every history must satisfy. */
internal enum class Property(val meaning: String) {
    READ_YOUR_WRITES("a session reads its own acknowledged writes"),
    NOT_LOST("no acknowledged write is lost"),
    AT_MOST_ONCE("a request runs at most once"),
    REFUSED_NOT_RUN("a request refused as not run did not run"),
    NOT_MIXED("statements of transactions never mix"),
    OWN_ANSWER("each caller receives the whole answer to its own request"),
    AGE_BOUND("no answer is older than its kind allows")
}

/**
 * Violation of [property].
 *
 * @property trace minimal set of operations that shows the violation, in order of time
 */
internal data class Violation(
    val property: Property,
    val detail: String,
    val trace: List<Operation>
)
