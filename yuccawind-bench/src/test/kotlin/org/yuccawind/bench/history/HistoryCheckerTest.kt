package org.yuccawind.bench.history

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.junit.jupiter.api.Test
import org.yuccawind.core.result.Outcome

/** A valid history passes; each injected violation is found with its minimal trace. */
class HistoryCheckerTest {
    private val first = write(1, "a", at = 0)
    private val second = write(2, "b", at = 10)
    private val validState = mapOf("k" to listOf("a", "b"))

    @Test
    fun `a valid history has no violation`() {
        val transaction = write(3, "c", at = 20, keys = listOf("k", "j"))
        val state = mapOf("k" to listOf("a", "b", "c"), "j" to listOf("c"))
        val read = read(1, listOf("a", "b"), at = 20, age = 0)
        HistoryChecker.check(History(listOf(first, second, transaction, read), state))
            .shouldBeEmpty()
    }

    @Test
    fun `a write with unknown outcome may be present or absent`() {
        val unknown = write(3, "c", at = 20, outcome = Outcome.UNKNOWN)
        HistoryChecker.check(History(listOf(first, second, unknown), validState)).shouldBeEmpty()
        val ran = mapOf("k" to listOf("a", "b", "c"))
        HistoryChecker.check(History(listOf(first, second, unknown), ran)).shouldBeEmpty()
    }

    @Test
    fun `a read that misses a write of its own session is found`() {
        val read = read(1, listOf("b"), at = 20)
        expectViolation(
            Property.READ_YOUR_WRITES,
            listOf(first, second, read),
            validState,
            listOf(first, read)
        )
    }

    @Test
    fun `a lost acknowledged write is found`() = expectViolation(
        Property.NOT_LOST,
        listOf(first, second),
        mapOf("k" to listOf("b")),
        listOf(first)
    )

    @Test
    fun `a write that ran twice is found`() = expectViolation(
        Property.AT_MOST_ONCE,
        listOf(first, second),
        mapOf("k" to listOf("a", "b", "a")),
        listOf(first)
    )

    @Test
    fun `a refused write that ran is found`() {
        val refused = write(3, "c", at = 20, outcome = Outcome.NOT_RUN)
        val state = mapOf("k" to listOf("a", "b", "c"))
        expectViolation(
            Property.REFUSED_NOT_RUN,
            listOf(first, second, refused),
            state,
            listOf(refused)
        )
    }

    @Test
    fun `a partially applied transaction is found`() {
        val transaction = write(3, "c", at = 20, keys = listOf("k", "j"), outcome = Outcome.UNKNOWN)
        val state = mapOf("k" to listOf("a", "b", "c"), "j" to emptyList())
        expectViolation(
            Property.NOT_MIXED,
            listOf(first, second, transaction),
            state,
            listOf(transaction)
        )
    }

    @Test
    fun `an append with the answer of another append is found`() {
        val foreign = second.copy(answers = listOf(listOf("a")))
        expectViolation(Property.OWN_ANSWER, listOf(first, foreign), validState, listOf(foreign))
    }

    @Test
    fun `a read with the answer for another key is found`() {
        val otherWrite = write(3, "c", at = 20, keys = listOf("j"))
        val read = read(3, listOf("c"), at = 30)
        val state = validState + ("j" to listOf("c"))
        expectViolation(
            Property.OWN_ANSWER,
            listOf(first, second, otherWrite, read),
            state,
            listOf(otherWrite, read)
        )
    }

    @Test
    fun `a read older than its kind allows is found`() {
        val read = read(3, listOf("a"), at = 120, age = 100)
        expectViolation(
            Property.AGE_BOUND,
            listOf(first, second, read),
            validState,
            listOf(second, read)
        )
        val atBound = read(3, listOf("a"), at = 111, age = 100)
        HistoryChecker.check(History(listOf(first, second, atBound), validState)).shouldBeEmpty()
    }

    private fun expectViolation(
        property: Property,
        operations: List<Operation>,
        state: Map<String, List<String>>,
        trace: List<Operation>
    ) {
        val found = HistoryChecker.check(History(operations, state)).first()
        found.property shouldBe property
        found.trace shouldBe trace
    }

    private fun write(
        session: Int,
        value: String,
        at: Long,
        keys: List<String> = listOf("k"),
        outcome: Outcome = Outcome.RAN
    ) = Operation.Write(
        session,
        "id-$value",
        keys,
        value,
        outcome,
        outcome.name,
        keys.map { listOf(value) },
        "db-1",
        at,
        at + 1
    )

    private fun read(session: Int, values: List<String>, at: Long, age: Long? = null) =
        Operation.Read(session, "k", age, values, "db-2", at, at + 1)
}
