package org.yuccawind.standins.wire

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.QueryParams
import com.linecorp.armeria.common.ResponseHeaders
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import java.util.Base64
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.future.await
import kotlinx.coroutines.future.future
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.yuccawind.core.port.StoredValue
import org.yuccawind.standins.platform.KeyChange
import org.yuccawind.standins.platform.PlatformModel

private const val CONDITION_FAILED = 412
private const val ERA_HEADER = "Store-Era"
private const val PATH_PREFIX = "/v1/"

/**
 * Serves the platform's published key-value API from a [PlatformModel], over HTTP or in process.
 * The store can be restored from an older copy, which begins a new era.
 */
class WireStore(private val model: PlatformModel, private val scope: CoroutineScope) {
    private val leases = ConcurrentHashMap<Long, Lease>()
    private val nextLease = AtomicLong()

    /** Number of the era, which every restore raises by one. */
    @Volatile
    var era = 1L
        private set

    /** Writes [text] under [key] unconditionally and without a lease. */
    suspend fun write(key: String, text: String) {
        val value = Base64.getEncoder().encodeToString(text.encodeToByteArray())
        model.change(KeyChange(emptyMap(), mapOf(key to value)))
    }

    /** Removes [key]. */
    suspend fun remove(key: String) {
        model.change(KeyChange(emptyMap(), emptyMap(), setOf(key)))
    }

    /** Returns a copy of all keys and leases, for [restore]. */
    fun backUp() = WireStoreBackup(
        model.backUp(),
        nextLease.get(),
        leases.mapValues { WireStoreBackup.Lease(it.value.ttlMs, it.value.keys.toSet()) }
    )

    /**
     * Replaces all keys and leases by those in [backup]. The lifetimes of its leases start anew.
     */
    fun restore(backup: WireStoreBackup) {
        leases.values.forEach { it.timer?.cancel() }
        leases.clear()
        model.restore(backup.model)
        nextLease.set(backup.nextLease)
        for ((id, copy) in backup.leases) {
            val lease = Lease(copy.ttlMs)
            lease.keys += copy.keys
            lease.timer = scheduleExpiry(id, copy.ttlMs)
            leases[id] = lease
        }
        era++
    }

    /** Adds the routes to [builder]. */
    fun addTo(builder: ServerBuilder) {
        val service = HttpService { context, request ->
            HttpResponse.of(
                scope.future {
                    val body = request.aggregate().await().contentUtf8()
                    val query = QueryParams.fromQueryString(context.query())
                    httpResponse(handle(context.method(), context.path(), query, body))
                }
            )
        }
        builder.serviceUnder(PATH_PREFIX, service)
    }

    /** Answers one call. */
    suspend fun handle(
        method: HttpMethod,
        path: String,
        query: QueryParams,
        body: String
    ): WireStoreReply {
        if (!model.applyFaults(zone = "")) return reply(HttpStatus.SERVICE_UNAVAILABLE)
        val id = path.substringAfterLast('/').toLongOrNull() ?: 0
        return when ("$method " + path.removePrefix(PATH_PREFIX).substringBefore('/')) {
            "GET kv-key" -> get(query)
            "GET kv-range" -> range(query)
            "GET kv-watch" -> watch(query)
            "POST kv-txn" -> change(Json.parseToJsonElement(body).jsonObject)
            "POST kv-lease" -> grantLease(Json.parseToJsonElement(body).jsonObject)
            "POST kv-keep" -> renewLease(id)
            "DELETE kv-lease-end" -> endLease(id)
            else -> reply(HttpStatus.NOT_FOUND)
        }
    }

    private fun get(query: QueryParams): WireStoreReply {
        val value = model.get(query.get("key").orEmpty()) ?: return reply(HttpStatus.NOT_FOUND)
        return ok(buildJsonObject { item(value) })
    }

    private fun range(query: QueryParams): WireStoreReply {
        val snapshot = model.list(query.get("prefix").orEmpty())
        return ok(
            buildJsonObject {
                putJsonArray("items") {
                    snapshot.values.forEach { addJsonObject { item(it) } }
                }
                put("hasMore", false)
                put("storeRevision", snapshot.version)
            }
        )
    }

    private suspend fun watch(query: QueryParams): WireStoreReply {
        val after = query.getLong("after", 0)
        if (after > model.currentVersion) return reply(HttpStatus.GONE)
        val changes = model.changesAfter(
            query.get("prefix").orEmpty(),
            after,
            query.getLong("waitMs", 0).milliseconds
        )
        return ok(
            buildJsonObject {
                putJsonArray("events") {
                    changes.written.forEach { addJsonObject { item(it) } }
                    changes.deleted.forEach {
                        addJsonObject {
                            put("key", it)
                            put("revision", changes.version)
                            put("deleted", true)
                        }
                    }
                }
                put("storeRevision", changes.version)
            }
        )
    }

    private suspend fun change(body: JsonObject): WireStoreReply {
        val expected = body.getValue("expectedRev").jsonArray.associate {
            stringField(it.jsonObject, "key") to longField(it.jsonObject, "revision")
        }
        val puts = body.getValue("puts").jsonArray.map { it.jsonObject }
        val deletes = body.getValue("deletes").jsonArray.map { it.jsonPrimitive.content }.toSet()
        val values = puts.associate { stringField(it, "key") to stringField(it, "value") }
        for (put in puts) {
            val lease = longField(put, "lease")
            if (lease == 0L) continue
            val grantedLease = leases[lease] ?: return reply(HttpStatus.NOT_FOUND)
            grantedLease.keys += stringField(put, "key")
        }
        val newVersion = model.change(KeyChange(expected, values, deletes))
            ?: return reply(HttpStatus.valueOf(CONDITION_FAILED))
        return ok(buildJsonObject { put("revision", newVersion) })
    }

    private fun grantLease(body: JsonObject): WireStoreReply {
        val ttl = longField(body, "ttlMs")
        val id = nextLease.incrementAndGet()
        leases[id] = Lease(ttl).also { it.timer = scheduleExpiry(id, ttl) }
        return ok(leaseJson(id, ttl))
    }

    private fun renewLease(id: Long): WireStoreReply {
        val lease = leases[id] ?: return reply(HttpStatus.NOT_FOUND)
        lease.timer?.cancel()
        lease.timer = scheduleExpiry(id, lease.ttlMs)
        return ok(leaseJson(id, lease.ttlMs))
    }

    private suspend fun endLease(id: Long): WireStoreReply {
        val lease = leases.remove(id) ?: return reply(HttpStatus.NOT_FOUND)
        lease.timer?.cancel()
        model.change(KeyChange(emptyMap(), emptyMap(), lease.keys.toSet()))
        return reply(HttpStatus.OK)
    }

    private fun scheduleExpiry(id: Long, ttlMs: Long) = scope.launch {
        delay(ttlMs)
        val lease = leases.remove(id) ?: return@launch
        model.change(KeyChange(emptyMap(), emptyMap(), lease.keys.toSet()))
    }

    private fun leaseJson(id: Long, ttlMs: Long) = buildJsonObject {
        put("lease", id)
        put("ttlMs", ttlMs)
    }

    private fun JsonObjectBuilder.item(value: StoredValue) {
        put("key", value.key)
        put("value", value.value)
        put("revision", value.version)
        put("createdRev", value.version)
        put("lease", 0)
    }

    private fun stringField(json: JsonObject, field: String) =
        json.getValue(field).jsonPrimitive.content

    private fun longField(json: JsonObject, field: String) = json.getValue(field).jsonPrimitive.long

    private fun ok(json: JsonObject) = reply(HttpStatus.OK, json.toString())

    private fun reply(status: HttpStatus, text: String = "") =
        WireStoreReply(status.code(), text, mapOf(ERA_HEADER to era.toString()))

    private fun httpResponse(reply: WireStoreReply): HttpResponse {
        val headers = ResponseHeaders.builder(reply.status)
        if (reply.text.isNotEmpty()) headers.contentType(MediaType.JSON)
        reply.headers.forEach { (name, value) -> headers.set(name, value) }
        return HttpResponse.of(headers.build(), HttpData.ofUtf8(reply.text))
    }

    private class Lease(val ttlMs: Long) {
        val keys: MutableSet<String> = ConcurrentHashMap.newKeySet()
        var timer: Job? = null
    }
}
