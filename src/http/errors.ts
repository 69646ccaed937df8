/**
 * Errors of HTTP parsing and of client requests. The class of a request error
 * states what is known about the request. A caller that retries a change or
 * deletes a record must decide by the class, never by the message.
 *
 *     NoResponseError          outcome unknown: the server may have carried out the request, or may still do so
 *       ResponseTooLargeError  received by the server, which may have carried it out
 *       NotSentError           not carried out: no connection could be established
 *         NotAttemptedError    not carried out: rejected locally, which says nothing about the server
 */

/**
 * There was no usable response. The server may have carried out the request, or
 * may still do so, since the request can be delayed in the network.
 */
export class NoResponseError extends Error {}

/**
 * The response exceeded the client's limit. The server received the request and
 * may have carried it out.
 */
export class ResponseTooLargeError extends NoResponseError {}

/** The request was not sent, and so not carried out, because no connection could be established. */
export class NotSentError extends NoResponseError {}

/**
 * The request was not sent, and so not carried out, for a local reason: no
 * connection was free, the client is closed, or the request is no longer valid.
 * The error does not show whether the server is reachable.
 */
export class NotAttemptedError extends NotSentError {}

/** The received bytes are not an HTTP message that this implementation accepts. */
export class HttpParseError extends Error {
  constructor(
    /** Status with which a server rejects the request; clients ignore it. */
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

/** The body of a message exceeds the parser's limit. */
export class BodyTooLargeError extends HttpParseError {
  constructor() {
    super(400, 'body too large');
  }
}
