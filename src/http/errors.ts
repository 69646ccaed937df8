/**
 * Errors of an HTTP request that brought no usable answer. Each class says
 * what it proves about whether the request was carried out: whoever repeats a
 * change or drops a record decides by the class and never by the text.
 *
 *     NoResponseError          may have been carried out
 *       ResponseTooLargeError  was answered, hence received
 *       NotSentError           was not carried out: it never left
 *         NotAttemptedError    likewise, and says nothing of the other side
 */

/**
 * No usable answer: the request may or may not have been carried out, or may
 * yet be, since it can still be on its way.
 */
export class NoResponseError extends Error {}

/** It was answered, at a greater length than is accepted: it was received, and may have been carried out. */
export class ResponseTooLargeError extends NoResponseError {}

/** It never left, since no connection was established: it was not carried out. */
export class NotSentError extends NoResponseError {}

/**
 * It was not even tried, for a reason on this side (no free connection, closed,
 * no longer valid): it was not carried out, and nothing was learnt about
 * whether the other side is reachable.
 */
export class NotAttemptedError extends NotSentError {}
