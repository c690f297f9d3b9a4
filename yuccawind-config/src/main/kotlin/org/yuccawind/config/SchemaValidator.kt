package org.yuccawind.config

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlPath
import com.charleskorn.kaml.YamlScalar
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind

/**
 * Validates YAML against the fields of a serializable class. Each mismatch is recorded as an error
 * and removed or replaced by a placeholder, so that the rest can be decoded and validated as well.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class SchemaValidator {
    private val lines = HashMap<String, Int>()

    /** The errors found so far. */
    val errors = ArrayList<ConfigIssue>()

    /** Returns the line of the node at [path], or of its nearest known ancestor, or null. */
    fun lineOf(path: String): Int? =
        lines[path] ?: path.substringBeforeLast('.', "").takeIf { it.isNotEmpty() }?.let(::lineOf)

    /** Records the errors of [node] and returns a node that can be decoded as [type]. */
    fun validate(type: SerialDescriptor, node: YamlNode, path: String): YamlNode {
        lines[path] = node.path.endLocation.line
        val valid = when {
            type.isInline -> validate(type.getElementDescriptor(0), node, path)
            node is YamlNull && type.isNullable -> node
            type.kind == StructureKind.CLASS -> (node as? YamlMap)?.let { fields(type, it, path) }
            type.kind == StructureKind.LIST -> (node as? YamlList)?.let { items(type, it, path) }
            else -> (node as? YamlScalar)?.takeIf { isValue(type, it.content) }
        }
        if (valid != null) return valid
        addError(path, "found ${describe(node)}, expected ${expected(type)}", node)
        return placeholder(type, node.path)
    }

    private fun fields(type: SerialDescriptor, map: YamlMap, path: String): YamlMap {
        val entries = LinkedHashMap<YamlScalar, YamlNode>()
        for ((key, value) in map.entries) {
            val index = type.getElementIndex(key.content)
            val fieldPath = join(path, key.content)
            if (index < 0) {
                addError(fieldPath, "unknown field; known fields are ${names(type)}", key)
            } else {
                entries[key] = validate(type.getElementDescriptor(index), value, fieldPath)
            }
        }
        val missing = (0 until type.elementsCount).filter { index ->
            !type.isElementOptional(index) &&
                entries.keys.none { it.content == type.getElementName(index) }
        }
        for (index in missing) {
            val name = type.getElementName(index)
            addError(join(path, name), "is missing", map)
            entries[YamlScalar(name, map.path)] =
                placeholder(type.getElementDescriptor(index), map.path)
        }
        return YamlMap(entries, map.path)
    }

    private fun items(type: SerialDescriptor, list: YamlList, path: String): YamlList {
        val element = type.getElementDescriptor(0)
        val items = list.items.mapIndexed { index, item ->
            validate(element, item, "$path[$index]")
        }
        return YamlList(items, list.path)
    }

    private fun isValue(type: SerialDescriptor, text: String) = when (type.kind) {
        SerialKind.ENUM -> type.getElementIndex(text) >= 0
        PrimitiveKind.INT -> text.toIntOrNull() != null
        PrimitiveKind.LONG -> text.toLongOrNull() != null
        PrimitiveKind.BOOLEAN -> text == "true" || text == "false"
        PrimitiveKind.DOUBLE -> text.toDoubleOrNull() != null
        else -> true
    }

    private fun expected(type: SerialDescriptor): String = when {
        type.isInline -> expected(type.getElementDescriptor(0))
        type.kind == StructureKind.CLASS -> "the fields ${names(type)}"
        type.kind == StructureKind.LIST -> "a list"
        type.kind == SerialKind.ENUM -> "one of ${names(type)}"
        type.kind == PrimitiveKind.BOOLEAN -> "true or false"
        type.kind == PrimitiveKind.STRING -> "a string"
        else -> "a number"
    }

    private fun describe(node: YamlNode) = when (node) {
        is YamlScalar -> "'${node.content}'"
        is YamlNull -> "nothing"
        is YamlMap -> "fields"
        is YamlList -> "a list"
        else -> "a tag"
    }

    private fun placeholder(type: SerialDescriptor, at: YamlPath): YamlNode = when {
        type.isInline -> placeholder(type.getElementDescriptor(0), at)
        type.kind == StructureKind.CLASS -> placeholderFields(type, at)
        type.kind == StructureKind.LIST -> YamlList(emptyList(), at)
        type.kind == SerialKind.ENUM -> YamlScalar(type.getElementName(0), at)
        type.kind == PrimitiveKind.BOOLEAN -> YamlScalar("false", at)
        type.kind == PrimitiveKind.STRING -> YamlScalar("", at)
        else -> YamlScalar("1", at)
    }

    private fun placeholderFields(type: SerialDescriptor, at: YamlPath): YamlMap {
        val required = (0 until type.elementsCount).filterNot(type::isElementOptional)
        return YamlMap(
            required.associate {
                YamlScalar(type.getElementName(it), at) to
                    placeholder(type.getElementDescriptor(it), at)
            },
            at
        )
    }

    private fun addError(path: String, detail: String, node: YamlNode) {
        errors += ConfigIssue(path.ifEmpty { "file" }, detail, node.path.endLocation.line)
    }

    private fun names(type: SerialDescriptor) =
        (0 until type.elementsCount).joinToString(", ", transform = type::getElementName)

    private fun join(path: String, name: String) = if (path.isEmpty()) name else "$path.$name"
}
