package org.yuccawind.proxy.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import org.yuccawind.core.peer.PeerMessage
import org.yuccawind.proxy.metrics.TrafficCounter

/** Version of the protocol between instances. */
internal const val PEER_VERSION = 1
private const val MAX_FRAME_BYTES = 1 shl 20

/**
 * A frame between two instances, sent as a four-byte length followed by CBOR.
 *
 * @property version protocol version of the sender
 * @property sequence number that matches a reply to its request
 * @property message request or reply
 */
@Serializable
internal data class PeerFrame(val version: Int, val sequence: Long, val message: PeerMessage)

@OptIn(ExperimentalSerializationApi::class)
private val CBOR = Cbor {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** Writes [frame] and counts its bytes in [traffic]. */
@OptIn(ExperimentalSerializationApi::class)
internal suspend fun ByteWriteChannel.writeFrame(frame: PeerFrame, traffic: TrafficCounter) {
    val bytes = CBOR.encodeToByteArray(PeerFrame.serializer(), frame)
    require(bytes.size <= MAX_FRAME_BYTES) { "frame of ${bytes.size} bytes" }
    writeInt(bytes.size)
    writeByteArray(bytes)
    flush()
    traffic.countSent(Int.SIZE_BYTES + bytes.size)
}

/**
 * Reads a frame and counts its bytes in [traffic]. Throws [BadFrameException] if the length,
 * version or content is invalid.
 */
internal suspend fun ByteReadChannel.readFrame(traffic: TrafficCounter): PeerFrame {
    val length = readInt()
    if (length !in 1..MAX_FRAME_BYTES) throw BadFrameException("frame of $length bytes")
    traffic.countReceived(Int.SIZE_BYTES + length)
    return decodeFrame(readByteArray(length))
}

/** Decodes the content of a frame; any exception of the decoder becomes a [BadFrameException]. */
@OptIn(ExperimentalSerializationApi::class)
@Suppress("TooGenericExceptionCaught")
private fun decodeFrame(bytes: ByteArray): PeerFrame {
    val frame = try {
        CBOR.decodeFromByteArray(PeerFrame.serializer(), bytes)
    } catch (e: RuntimeException) {
        throw BadFrameException(e.message.orEmpty().lineSequence().first())
    }
    if (frame.version != PEER_VERSION) {
        throw BadFrameException("peer protocol version ${frame.version}")
    }
    return frame
}

/** Thrown for a frame that is not a valid message of protocol version [PEER_VERSION]. */
internal class BadFrameException(message: String) : Exception(message)
