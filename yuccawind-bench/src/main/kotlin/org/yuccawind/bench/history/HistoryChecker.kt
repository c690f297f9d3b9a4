package org.yuccawind.bench.history

import org.yuccawind.core.result.Outcome

/** Checks a history of concurrent callers against every [Property]. */
internal object HistoryChecker {
    /** All violations, ordered by trace length, then by the start of the first operation. */
    fun check(history: History): List<Violation> =
        (checkWrites(history) + checkReads(history) + checkFinalState(history))
            .sortedWith(compareBy({ it.trace.size }, { it.trace.firstOrNull()?.invokedAt }))

    private fun checkWrites(history: History) = history.writes.flatMap { write ->
        listOfNotNull(
            lostWrite(history, write),
            refusedButRan(history, write),
            partialTransaction(history, write),
            foreignAnswer(write)
        )
    }

    private fun lostWrite(history: History, write: Operation.Write): Violation? {
        val missingKeys = write.keys.filterNot { write.value in history.finalValues(it) }
        if (write.outcome != Outcome.RAN || missingKeys.isEmpty()) return null
        return Violation(
            Property.NOT_LOST,
            "${write.value} is missing at $missingKeys",
            listOf(write)
        )
    }

    private fun refusedButRan(history: History, write: Operation.Write): Violation? {
        if (write.outcome != Outcome.NOT_RUN) return null
        val ran = write.keys.filter { write.value in history.finalValues(it) }
        if (ran.isEmpty()) return null
        return Violation(Property.REFUSED_NOT_RUN, "${write.value} stands at $ran", listOf(write))
    }

    private fun partialTransaction(history: History, write: Operation.Write): Violation? {
        val present = write.keys.count { write.value in history.finalValues(it) }
        if (present == 0 || present == write.keys.size) return null
        val detail = "${write.value} stands at $present of ${write.keys}"
        return Violation(Property.NOT_MIXED, detail, listOf(write))
    }

    /** An append returns the list up to and including its own value. */
    private fun foreignAnswer(write: Operation.Write): Violation? {
        if (write.outcome != Outcome.RAN) return null
        val isOwn = write.answers.size == write.keys.size &&
            write.answers.all { it.lastOrNull() == write.value }
        if (isOwn) return null
        return Violation(Property.OWN_ANSWER, "answers ${write.answers}", listOf(write))
    }

    private fun checkReads(history: History): List<Violation> {
        val writesByKey = groupWritesByKey(history)
        val writesByValue = history.writes.associateBy { it.value }
        return history.reads.flatMap { read ->
            val missing = writesByKey[read.key].orEmpty()
                .filter { it.outcome == Outcome.RAN && it.value !in read.values }
            listOfNotNull(
                ownWriteMissing(read, missing),
                exceedsAgeBound(read, missing),
                foreignValue(read, writesByValue),
                duplicateValue(read.key, read.values, listOf(read))
            )
        }
    }

    private fun ownWriteMissing(read: Operation.Read, missing: List<Operation.Write>): Violation? {
        val own = missing.find { it.session == read.session && it.returnedAt < read.invokedAt }
        return own?.let {
            Violation(Property.READ_YOUR_WRITES, "${it.value} is not read", listOf(it, read))
        }
    }

    private fun exceedsAgeBound(read: Operation.Read, missing: List<Operation.Write>): Violation? {
        val age = read.greatestAge ?: return null
        val stale = missing.find { it.returnedAt < read.invokedAt - age }
        return stale?.let {
            Violation(Property.AGE_BOUND, "${it.value} is older than $age us", listOf(it, read))
        }
    }

    private fun foreignValue(
        read: Operation.Read,
        writesByValue: Map<String, Operation.Write>
    ): Violation? {
        val foreign = read.values.find { writesByValue[it]?.keys?.contains(read.key) != true }
        return foreign?.let {
            val trace = listOfNotNull(writesByValue[it], read)
            Violation(Property.OWN_ANSWER, "$it was never written to ${read.key}", trace)
        }
    }

    private fun checkFinalState(history: History): List<Violation> {
        val writesByKey = groupWritesByKey(history)
        return history.finalState.flatMap { (key, values) ->
            val known = writesByKey[key].orEmpty().associateBy { it.value }
            val foreign = values.find { it !in known }?.let {
                Violation(Property.NOT_MIXED, "$it at $key was never written there", emptyList())
            }
            val duplicate = firstDuplicate(values)
            val trace = listOfNotNull(duplicate?.let(known::get))
            listOfNotNull(foreign, duplicateValue(key, values, trace))
        }
    }

    private fun duplicateValue(
        key: String,
        values: List<String>,
        trace: List<Operation>
    ): Violation? = firstDuplicate(values)?.let {
        Violation(Property.AT_MOST_ONCE, "$it stands twice at $key", trace)
    }

    private fun firstDuplicate(values: List<String>): String? {
        val seen = HashSet<String>()
        return values.find { !seen.add(it) }
    }

    private fun groupWritesByKey(history: History): Map<String, List<Operation.Write>> =
        history.writes
            .flatMap { write -> write.keys.map { it to write } }
            .groupBy({ it.first }, { it.second })

    private fun History.finalValues(key: String) = finalState[key].orEmpty()
}
