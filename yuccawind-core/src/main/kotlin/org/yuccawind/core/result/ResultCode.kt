package org.yuccawind.core.result

/** What a caller may conclude about its request. */
enum class Outcome { RAN, NOT_RUN, UNKNOWN }

private const val HTTP_OK = 200
private const val HTTP_BAD_REQUEST = 400
private const val HTTP_UNAUTHORIZED = 401
private const val HTTP_NOT_FOUND = 404
private const val HTTP_CONFLICT = 409
private const val HTTP_TOO_LARGE = 413
private const val HTTP_UNAVAILABLE = 503
private const val HTTP_GATEWAY_TIMEOUT = 504

/**
 * The numbered result codes; docs/RESULT-CODES.md holds the same table.
 *
 * @property number stable number, included in every answer
 * @property httpStatus status of the HTTP response
 * @property outcome what the caller may conclude
 * @property meaning one-line description for operators and callers
 */
enum class ResultCode(
    val number: Int,
    val httpStatus: Int,
    val outcome: Outcome,
    val meaning: String
) {
    OK(1000, HTTP_OK, Outcome.RAN, "the request ran and its effect is durable"),
    ALREADY_RAN(1001, HTTP_OK, Outcome.RAN, "an earlier try ran; its stored result is returned"),

    STALE(2001, HTTP_UNAVAILABLE, Outcome.NOT_RUN, "no reachable data is young enough"),
    NO_PRIMARY(2002, HTTP_UNAVAILABLE, Outcome.NOT_RUN, "no primary within the deadline"),
    OVERLOADED(2003, HTTP_UNAVAILABLE, Outcome.NOT_RUN, "the queue can't finish in time"),
    NO_CONNECTION(2004, HTTP_UNAVAILABLE, Outcome.NOT_RUN, "no connection within the deadline"),
    CANCELLED(2005, HTTP_CONFLICT, Outcome.NOT_RUN, "this id can never run; send a new one"),
    SHUTTING_DOWN(2006, HTTP_UNAVAILABLE, Outcome.NOT_RUN, "this instance takes no new work"),
    TRANSACTION_LOST(2007, HTTP_CONFLICT, Outcome.NOT_RUN, "owner gone; rolled back"),
    DEADLINE(2008, HTTP_GATEWAY_TIMEOUT, Outcome.NOT_RUN, "deadline passed before dispatch"),
    STATEMENT_FAILED(2009, HTTP_BAD_REQUEST, Outcome.NOT_RUN, "the database refused the statement"),
    NOT_CONFIGURED(2010, HTTP_UNAVAILABLE, Outcome.NOT_RUN, "no configuration received yet"),

    OUTCOME_UNKNOWN(3001, HTTP_GATEWAY_TIMEOUT, Outcome.UNKNOWN, "ask again with the same id"),

    BAD_REQUEST(4001, HTTP_BAD_REQUEST, Outcome.NOT_RUN, "the request can't be understood"),
    BODY_TOO_LARGE(4002, HTTP_TOO_LARGE, Outcome.NOT_RUN, "the body exceeds the limit"),
    BAD_SESSION(4003, HTTP_BAD_REQUEST, Outcome.NOT_RUN, "the session token can't be read"),
    NO_SUCH_SERVICE(4004, HTTP_NOT_FOUND, Outcome.NOT_RUN, "no such service"),
    NO_SUCH_KIND(4005, HTTP_NOT_FOUND, Outcome.NOT_RUN, "the service has no such read kind"),
    NO_SUCH_PATH(4006, HTTP_NOT_FOUND, Outcome.NOT_RUN, "no such path or method"),
    NO_SUCH_TRANSACTION(4007, HTTP_NOT_FOUND, Outcome.NOT_RUN, "no such transaction here"),
    UNAUTHORIZED(4008, HTTP_UNAUTHORIZED, Outcome.NOT_RUN, "wrong or missing operator key"),

    CONFIG_INVALID(5001, HTTP_BAD_REQUEST, Outcome.NOT_RUN, "the configuration has faults"),
    CONFIG_CONFLICT(5002, HTTP_CONFLICT, Outcome.NOT_RUN, "a newer revision is in force"),
    PLATFORM_UNAVAILABLE(5003, HTTP_UNAVAILABLE, Outcome.NOT_RUN, "the platform did not answer"),
    CONFIG_UNKNOWN(5004, HTTP_GATEWAY_TIMEOUT, Outcome.UNKNOWN, "the change may be in force"),
    HANDOVER_FAILED(5005, HTTP_CONFLICT, Outcome.NOT_RUN, "the planned handover did not happen"),
    CONFIG_GROUP_CHANGE(
        5006,
        HTTP_CONFLICT,
        Outcome.NOT_RUN,
        "more than one server of a group would change"
    )
}
