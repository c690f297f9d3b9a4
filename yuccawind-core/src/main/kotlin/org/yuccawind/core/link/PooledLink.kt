package org.yuccawind.core.link

import arrow.core.Either
import kotlin.time.ComparableTimeMark
import kotlin.time.TimeSource
import org.yuccawind.core.group.GroupMember
import org.yuccawind.core.load.LoadKind
import org.yuccawind.core.model.LogPoint
import org.yuccawind.core.statement.PreparedShape
import org.yuccawind.core.statement.SessionState
import org.yuccawind.core.workspace.WorkspaceName

/** Maximum number of prepared statements on one link; a link that reaches it is reset. */
private const val MAX_PREPARED = 64

/**
 * A link together with the state of the server's end as far as it is known: session variables,
 * prepared statements and log position.
 *
 * @property server the server that the link is connected to
 * @property workspace the only workspace whose statements may run on the link; null for none
 */
class PooledLink(
    val server: GroupMember,
    private val link: ServerLink,
    private val time: TimeSource.WithComparableMarks,
    val workspace: WorkspaceName? = null
) {
    private var values: Map<String, String> = emptyMap()
    private val prepared = LinkedHashMap<PreparedShape, String>()
    private var namesAssigned = 0
    private var isStateKnown = true

    /** Commands whose effect is recorded here, but which have not been sent. */
    private val unsent = ArrayList<LinkCommand>()

    /** End of the server's log as last reported on this link; null while not reported. */
    var position: LogPoint? = link.initialPosition
        private set

    /** Kind of the statements that the link was last acquired for. */
    internal var kind: LoadKind = LoadKind.OTHER

    /** Transaction state of the link after the latest reply. */
    var state: SessionState = SessionState.IDLE
        private set

    /** Time of the latest reply, or of the opening before the first one. */
    var answeredAt: ComparableTimeMark = time.markNow()
        private set

    /** Time at which the caller that uses the link acquired it, or of the opening. */
    var acquiredAt: ComparableTimeMark = time.markNow()
        private set

    /** False once the connection is closed. */
    val isOpen get() = link.isOpen

    /** Term of [position]; 0 while no position is known. */
    val term get() = position?.term ?: 0

    /** True when no transaction is open on the link. */
    val isIdle get() = state == SessionState.IDLE

    /** Records that a caller starts to use the link. */
    internal fun recordAcquired() {
        acquiredAt = time.markNow()
    }

    /**
     * Returns the name under which [shape] is prepared on this link, and the commands that prepare
     * it: none when it is prepared already.
     */
    fun preparation(shape: PreparedShape): Preparation {
        prepared[shape]?.let { return Preparation(it, emptyList()) }
        val name = "s${namesAssigned++}"
        prepared[shape] = name
        return Preparation(name, listOf(LinkCommand.Prepare(name, shape)).also(unsent::addAll))
    }

    /**
     * Returns the commands that set the link's session variables to [variables]. The new state is
     * recorded at once; it counts as unknown when the next batch lacks these commands, or when the
     * server's state may differ after it.
     */
    fun commandsToApply(variables: SessionVariables): List<LinkCommand> {
        discardUnsent()
        return commandsFor(variables).also(unsent::addAll)
    }

    private fun commandsFor(variables: SessionVariables): List<LinkCommand> {
        if (isIdle && (!isStateKnown || prepared.size >= MAX_PREPARED)) return resetTo(variables)
        if (values == variables.values) return emptyList()
        if (isIdle && !variables.values.keys.containsAll(values.keys)) return resetTo(variables)
        val changed = variables.values.filter { values[it.key] != it.value }
        values = variables.values
        return changed.map { LinkCommand.SetValue(it.key, it.value) }
    }

    /** Sends [commands] in one batch and returns their replies. */
    suspend fun exchange(commands: List<LinkCommand>): Either<LinkLost, List<LinkReply>> {
        val wasIdle = isIdle
        if (commands.containsAll(unsent)) unsent.clear() else discardUnsent()
        return link.exchange(commands).onRight { replies ->
            replies.forEach(::recordReply)
            if (commands.zip(replies).any { mayHaveDiverged(it.first, it.second, wasIdle) }) {
                isStateKnown = false
            }
        }
    }

    /** Closes the connection. */
    fun close() = link.close()

    /** A caller that runs out of time may not send the commands that it asked for. */
    private fun discardUnsent() {
        if (unsent.isNotEmpty()) isStateKnown = false
        unsent.clear()
    }

    private fun resetTo(variables: SessionVariables): List<LinkCommand> {
        prepared.clear()
        isStateKnown = true
        values = variables.values
        return listOf(LinkCommand.Reset) +
            variables.values.map { LinkCommand.SetValue(it.key, it.value) }
    }

    /**
     * Returns true when the state of the server's end may differ from the state recorded here:
     * either it refused a command that sets this state, as a replaced primary does inside a
     * transaction, or the command ran inside a transaction and is undone if that is rolled back.
     */
    private fun mayHaveDiverged(command: LinkCommand, reply: LinkReply, wasIdle: Boolean) =
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

    private fun recordReply(reply: LinkReply) {
        answeredAt = time.markNow()
        state = reply.state
        reply.position?.let { position = it }
    }

    /**
     * A prepared statement on a link.
     *
     * @property name name of the statement on the link
     * @property commands commands to send before the statement can be executed
     */
    data class Preparation(val name: String, val commands: List<LinkCommand>)
}
