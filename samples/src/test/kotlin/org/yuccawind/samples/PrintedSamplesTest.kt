package org.yuccawind.samples

import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.io.File
import org.junit.jupiter.api.Test
import org.yuccawind.config.Deployment

class PrintedSamplesTest {
    @Test
    fun `federbruecke matches its committed YAML file`() =
        verify("federbruecke.yaml", federbruecke())

    @Test
    fun `pastas frescas matches its committed YAML file`() =
        verify("pastas-frescas.yaml", pastasFrescas())

    private fun verify(file: String, deployment: Deployment) {
        val text = File(file).readText()
        deployment.toYaml() shouldBe text
        Deployment.parse(text).getOrNull() shouldBe deployment
        deployment.warnings().shouldBeEmpty()
    }
}
