package org.yuccawind.proxy.metrics

import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.MediaType
import com.linecorp.armeria.server.ServerBuilder
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Serves the metrics in [registry] in the Prometheus text format. */
class MetricsApi(private val registry: PrometheusRegistry) {
    private val writer = PrometheusTextFormatWriter.create()
    private val contentType = MediaType.parse(writer.contentType)

    /** Adds the route to [builder]. */
    fun addTo(builder: ServerBuilder) {
        builder.service("/metrics") { _, _ ->
            HttpResponse.of(HttpStatus.OK, contentType, HttpData.wrap(text()))
        }
    }

    /** Returns the current metrics in the Prometheus text format. */
    fun text(): ByteArray {
        val out = ByteArrayOutputStream()
        writer.write(out, registry.scrape())
        return out.toByteArray()
    }
}
