package org.yuccawind.standins.wire

import com.linecorp.armeria.common.AggregatedHttpRequest
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpMethod
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.common.QueryParams
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServerBuilder
import com.linecorp.armeria.server.ServiceRequestContext
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

/** Serves the platform's published key-value HTTP API from a [PlatformModel]. */
class WireStore(private val model: PlatformModel, private val scope: CoroutineScope) {
    private val leases = ConcurrentHashMap<Long, Lease>()
    private val nextLease = AtomicLong()

    /** Writes [text] under [key] unconditionally and without a lease. */
    suspend fun write(key: String, text: String) {
        val value = Base64.getEncoder().encodeToString(text.encodeToByteArray())
        model.change(KeyChange(emptyMap(), mapOf(key to value)))
    }

    /** Removes [key]. */
    suspend fun remove(key: String) {
        model.change(KeyChange(emptyMap(), emptyMap(), setOf(key)))
    }

    /** Adds the routes to [builder]. */
    fun addTo(builder: ServerBuilder) {
        builder.route(HttpMethod.GET, "/v1/kv-key") { _, _, query -> get(query) }
        builder.route(HttpMethod.GET, "/v1/kv-range") { _, _, query -> range(query) }
        builder.route(HttpMethod.GET, "/v1/kv-watch") { _, _, query -> watch(query) }
        builder.route(HttpMethod.POST, "/v1/kv-txn") { _, body, _ -> change(body) }
        builder.route(HttpMethod.POST, "/v1/kv-lease") { _, body, _ -> grantLease(body) }
        builder.route(HttpMethod.POST, "/v1/kv-keep/{id}") { context, _, _ ->
            renewLease(idOf(context))
        }
        builder.route(HttpMethod.DELETE, "/v1/kv-lease-end/{id}") { context, _, _ ->
            endLease(idOf(context))
        }
    }

    private fun get(query: QueryParams): HttpResponse {
        val value = model.get(query.get("key").orEmpty())
            ?: return HttpResponse.of(HttpStatus.NOT_FOUND)
        return ok(buildJsonObject { item(value) })
    }

    private fun range(query: QueryParams): HttpResponse {
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

    private suspend fun watch(query: QueryParams): HttpResponse {
        val changes = model.changesAfter(
            query.get("prefix").orEmpty(),
            query.getLong("after", 0),
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

    private suspend fun change(body: JsonObject): HttpResponse {
        val expected = body.getValue("expectedRev").jsonArray.associate {
            stringField(it.jsonObject, "key") to longField(it.jsonObject, "revision")
        }
        val puts = body.getValue("puts").jsonArray.map { it.jsonObject }
        val deletes = body.getValue("deletes").jsonArray.map { it.jsonPrimitive.content }.toSet()
        val values = puts.associate { stringField(it, "key") to stringField(it, "value") }
        for (put in puts) {
            val lease = longField(put, "lease")
            if (lease == 0L) continue
            val grantedLease = leases[lease] ?: return HttpResponse.of(HttpStatus.NOT_FOUND)
            grantedLease.keys += stringField(put, "key")
        }
        val newVersion = model.change(KeyChange(expected, values, deletes))
            ?: return HttpResponse.of(HttpStatus.valueOf(CONDITION_FAILED))
        return ok(buildJsonObject { put("revision", newVersion) })
    }

    private fun grantLease(body: JsonObject): HttpResponse {
        val ttl = longField(body, "ttlMs")
        val id = nextLease.incrementAndGet()
        leases[id] = Lease(ttl).also { it.timer = scheduleExpiry(id, ttl) }
        return ok(leaseJson(id, ttl))
    }

    private fun renewLease(id: Long): HttpResponse {
        val lease = leases[id] ?: return HttpResponse.of(HttpStatus.NOT_FOUND)
        lease.timer?.cancel()
        lease.timer = scheduleExpiry(id, lease.ttlMs)
        return ok(leaseJson(id, lease.ttlMs))
    }

    private suspend fun endLease(id: Long): HttpResponse {
        val lease = leases.remove(id) ?: return HttpResponse.of(HttpStatus.NOT_FOUND)
        lease.timer?.cancel()
        model.change(KeyChange(emptyMap(), emptyMap(), lease.keys.toSet()))
        return HttpResponse.of(HttpStatus.OK)
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

    private fun idOf(context: ServiceRequestContext) = context.pathParam("id").orEmpty().toLong()

    private fun ok(json: JsonObject) =
        HttpResponse.of(HttpStatus.OK, MediaType.JSON, HttpData.ofUtf8(json.toString()))

    private fun ServerBuilder.route(
        method: HttpMethod,
        path: String,
        handle: suspend (ServiceRequestContext, JsonObject, QueryParams) -> HttpResponse
    ) {
        val service = HttpService { context, request ->
            HttpResponse.of(
                scope.future {
                    val message = request.aggregate().await()
                    if (!model.applyFaults(zone = "")) return@future unavailable()
                    handle(context, bodyOf(message), QueryParams.fromQueryString(context.query()))
                }
            )
        }
        route().path(path).methods(method).build(service)
    }

    private fun bodyOf(request: AggregatedHttpRequest): JsonObject {
        val text = request.contentUtf8()
        return if (text.isBlank()) {
            JsonObject(emptyMap())
        } else {
            Json.parseToJsonElement(text).jsonObject
        }
    }

    private fun unavailable() = HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE)

    private class Lease(val ttlMs: Long) {
        val keys: MutableSet<String> = ConcurrentHashMap.newKeySet()
        var timer: Job? = null
    }
}
