package org.yuccawind.core.model

import kotlinx.serialization.Serializable

/** Role of a backend server in its group. */
@Serializable
enum class ServerRole { PRIMARY, REPLICA }
