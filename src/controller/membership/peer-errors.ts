/** Errors of requests between controllers, except connection errors. */

/** A peer sent a malformed response or a request that this version does not support. */
export class PeerProtocolError extends Error {}

/** A recent mailbox request to the node failed, and no further one is sent before the back-off ends. */
export class MailboxBackoffError extends Error {
  constructor(readonly node: string) {
    super(`mailbox requests to ${node} are suspended after a failure`);
  }
}

/** A heartbeat is too large for a mailbox message. */
export class MailboxMessageTooLargeError extends Error {
  constructor(readonly bytes: number) {
    super(`heartbeat of ${bytes} bytes is too large for a mailbox message`);
  }
}
