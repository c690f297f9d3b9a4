package org.yuccawind.core.link

import arrow.core.Either
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import org.yuccawind.core.group.GroupMember
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.PreparedShape
import org.yuccawind.core.statement.SessionState

/** Prepared statements kept on one link; a full link is cleared before the next one. */
private const val MAX_PREPARED = 64

/**
 * A link and what is known of the server's side of it: values, prepared names and log position.
 *
 * @property server the server at the other end
 */
class PooledLink(
    val server: GroupMember,
    private val link: ServerLink,
    private val time: TimeSource.WithComparableMarks
) {
    private var values: Map<String, String> = emptyMap()
    private val prepared = LinkedHashMap<PreparedShape, String>()
    private var namesGiven = 0

    /** End of the server's log in its newest answer on this link; null before the first. */
    var position: LogPoint? = link.firstPosition
        private set

    /** State of the link after its newest answer. */
    var state: SessionState = SessionState.IDLE
        private set

    /** When the newest answer came. */
    var answeredAt: ComparableTimeMark = time.markNow()
        private set

    /** False once the connection has ended. */
    val isOpen get() = link.isOpen

    /** Term of the server's log in its newest answer; 0 before the first. */
    val term get() = position?.term ?: 0

    /** True when the next transaction may start without ending another first. */
    val isIdle get() = state == SessionState.IDLE

    /**
     * Name under which [shape] is prepared here, and the commands that prepare it: none when it
     * already is.
     */
    fun preparation(shape: PreparedShape): Preparation {
        prepared[shape]?.let { return Preparation(it, emptyList()) }
        val name = "s${namesGiven++}"
        prepared[shape] = name
        return Preparation(name, listOf(LinkCommand.Prepare(name, shape)))
    }

    /** Commands that bring the link to the state of [image]; assumes that they will succeed. */
    fun imprint(image: SessionImage): List<LinkCommand> {
        if (isIdle && prepared.size >= MAX_PREPARED) return replaceBy(image)
        if (values == image.values) return emptyList()
        if (isIdle && !image.values.keys.containsAll(values.keys)) return replaceBy(image)
        val changed = image.values.filter { values[it.key] != it.value }
        values = image.values
        return changed.map { LinkCommand.SetValue(it.key, it.value) }
    }

    /** Sends [commands] in one batch and returns their answers. */
    suspend fun exchange(commands: List<LinkCommand>): Either<LinkLost, List<LinkReply>> =
        link.exchange(commands).onRight { replies -> replies.forEach(::note) }

    /** Closes the connection. */
    fun close() = link.close()

    private fun replaceBy(image: SessionImage): List<LinkCommand> {
        prepared.clear()
        values = image.values
        return listOf(LinkCommand.Reset) +
            image.values.map { LinkCommand.SetValue(it.key, it.value) }
    }

    private fun note(reply: LinkReply) {
        answeredAt = time.markNow()
        state = reply.state
        reply.position?.let { position = it }
    }

    /**
     * A prepared statement on a link.
     *
     * @property name its name there
     * @property commands what must be sent before it is executed
     */
    data class Preparation(val name: String, val commands: List<LinkCommand>)
}
