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
    private var isImageKnown = true

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
        if (isIdle && (!isImageKnown || prepared.size >= MAX_PREPARED)) return replaceBy(image)
        if (values == image.values) return emptyList()
        if (isIdle && !image.values.keys.containsAll(values.keys)) return replaceBy(image)
        val changed = image.values.filter { values[it.key] != it.value }
        values = image.values
        return changed.map { LinkCommand.SetValue(it.key, it.value) }
    }

    /** Sends [commands] in one batch and returns their answers. */
    suspend fun exchange(commands: List<LinkCommand>): Either<LinkLost, List<LinkReply>> {
        val wasIdle = isIdle
        return link.exchange(commands).onRight { replies ->
            replies.forEach(::note)
            if (commands.zip(replies).any { isInDoubt(it.first, it.second, wasIdle) }) {
                isImageKnown = false
            }
        }
    }

    /** Closes the connection. */
    fun close() = link.close()

    private fun replaceBy(image: SessionImage): List<LinkCommand> {
        prepared.clear()
        isImageKnown = true
        values = image.values
        return listOf(LinkCommand.Reset) +
            image.values.map { LinkCommand.SetValue(it.key, it.value) }
    }

    /**
     * True when the server's side may differ from what is noted here: it refused a command that
     * lays the image, as a primary that was replaced does inside a transaction, or it may undo the
     * command together with the transaction that it was part of.
     */
    private fun isInDoubt(command: LinkCommand, reply: LinkReply, wasIdle: Boolean) =
        when (command) {
            is LinkCommand.Prepare, is LinkCommand.SetValue, LinkCommand.Reset ->
                !reply.isDone || !wasIdle

            is LinkCommand.Begin,
            is LinkCommand.Commit,
            is LinkCommand.Execute,
            is LinkCommand.Forward,
            is LinkCommand.Pause,
            is LinkCommand.StepDown,
            LinkCommand.Resume,
            LinkCommand.Rollback,
            LinkCommand.Status
            -> false
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
