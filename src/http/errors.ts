/**
 * Errors of HTTP messages, and of requests that brought no usable answer. The
 * class of the latter says what is proven about whether the request was carried
 * out: whoever repeats a change or drops a record decides by the class and
 * never by the text.
 *
 *     NoResponseError          may have been carried out, or may yet be
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

/** The bytes are no HTTP message that is accepted here. */
export class HttpParseError extends Error {
  constructor(
    /** Status of the answer, when the bytes were to be a request. */
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** The body is larger than this side accepts. */
export class BodyTooLargeError extends HttpParseError {
  constructor() {
    super(400, 'body too large');
  }
}
