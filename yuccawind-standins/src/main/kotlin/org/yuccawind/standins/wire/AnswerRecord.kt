package org.yuccawind.standins.wire

/**
 * Answer of a server to a statement.
 *
 * @property server name of the server
 * @property id identifier of the statement; - for those of the proxy
 * @property messages messages of the answer without READY
 */
data class AnswerRecord(val server: String, val id: String, val messages: List<String>)
