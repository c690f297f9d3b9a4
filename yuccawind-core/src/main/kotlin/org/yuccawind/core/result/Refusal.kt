package org.yuccawind.core.result

/**
 * Refusal of a request, or failure to return its result.
 *
 * @property code result code; its outcome tells whether the request may have run
 * @property detail cause in one line, for the caller
 * @property retryAfterMs milliseconds after which a retry may succeed; null if a retry can't help
 */
data class Refusal(val code: ResultCode, val detail: String, val retryAfterMs: Long? = null)
