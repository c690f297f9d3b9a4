package org.yuccawind.config

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode

/** Parses a deployment from YAML and reports all errors, not only the first. */
internal object DeploymentParser {
    fun parse(text: String): Either<List<ConfigIssue>, Deployment> = try {
        parse(DEPLOYMENT_YAML.parseToYamlNode(text))
    } catch (e: YamlException) {
        val detail = e.message.lineSequence().first()
        listOf(
            ConfigIssue(
                e.path.toHumanReadableString().ifEmpty {
                    "file"
                },
                detail,
                e.line
            )
        ).left()
    }

    private fun parse(node: YamlNode): Either<List<ConfigIssue>, Deployment> {
        val validator = SchemaValidator()
        val repaired = validator.validate(Deployment.serializer().descriptor, node, "")
        val deployment = DEPLOYMENT_YAML.decodeFromYamlNode(Deployment.serializer(), repaired)
        val invalidPaths = validator.errors.map { it.path }
        val ruleErrors = deployment.errors()
            .filterNot { error ->
                invalidPaths.any { error.path == it || error.path.startsWith("$it[") }
            }
            .map { it.copy(line = validator.lineOf(it.path)) }
        val errors = (validator.errors + ruleErrors).sortedBy { it.line ?: 0 }
        return if (errors.isEmpty()) deployment.sorted().right() else errors.left()
    }
}
