package org.yuccawind.bench.report

import java.util.Locale
import org.yuccawind.bench.result.Point
import org.yuccawind.bench.result.Series

private const val WIDTH = 420.0
private const val HEIGHT = 220.0
private const val MARGIN = 40.0
private const val SPARKLINE_WIDTH = 120.0
private const val SPARKLINE_HEIGHT = 20.0
private const val LINE_STYLE = "fill=\"none\" stroke=\"#1f77b4\" stroke-width=\"1.5\""

/** Renders plots as inline SVG. */
internal object Plot {
    /** Line chart of [series] with axis labels and value ranges; empty if there are no points. */
    fun lineChart(series: Series): String {
        val points = series.points
        if (points.isEmpty()) return ""
        val polylinePoints = polylinePoints(points, WIDTH - MARGIN, HEIGHT - MARGIN)
        val ends = "${format(points.minOf { it.x })} to ${format(points.maxOf { it.x })}"
        val top = "0 to ${format(points.maxOf { it.y })}"
        return "<svg width=\"$WIDTH\" height=\"${HEIGHT + MARGIN}\" role=\"img\">" +
            "<text x=\"0\" y=\"14\">" +
            "${escapeHtml(series.name)}: ${escapeHtml(series.y)}, $top</text>" +
            "<g transform=\"translate(0,20)\">" +
            "<polyline points=\"$polylinePoints\" $LINE_STYLE/></g>" +
            "<text x=\"0\" y=\"$HEIGHT\">${escapeHtml(series.x)}, $ends</text></svg>"
    }

    /** Sparkline of [values]; empty if there are fewer than two. */
    fun sparkline(values: List<Double>): String {
        if (values.size < 2) return ""
        val points = values.mapIndexed { index, value -> Point(index.toDouble(), value) }
        val polylinePoints = polylinePoints(points, SPARKLINE_WIDTH, SPARKLINE_HEIGHT)
        return "<svg width=\"$SPARKLINE_WIDTH\" height=\"$SPARKLINE_HEIGHT\">" +
            "<polyline points=\"$polylinePoints\" $LINE_STYLE/></svg>"
    }

    private fun polylinePoints(points: List<Point>, width: Double, height: Double): String {
        val left = points.minOf { it.x }
        val span = (points.maxOf { it.x } - left).takeIf { it > 0 } ?: 1.0
        val top = points.maxOf { it.y }.takeIf { it > 0 } ?: 1.0
        return points.joinToString(" ") { point ->
            val x = (point.x - left) / span * width
            val y = height - point.y.coerceAtLeast(0.0) / top * height
            "${format(x)},${format(y)}"
        }
    }

    private fun format(value: Double) = String.format(Locale.ROOT, "%.1f", value)
}
