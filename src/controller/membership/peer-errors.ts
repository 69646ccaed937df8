/** Errors of requests between controllers, except those of the connection. */

/** A peer sent a request or response that this version does not understand. */
export class PeerProtocolError extends Error {}

/** A recent mailbox request to the node failed, and no further one is sent before the back-off ends. */
export class MailboxBackoffError extends Error {
  constructor(readonly node: string) {
    super(`mailbox requests to ${node} are suspended after a failure`);
  }
}

/** A heartbeat exceeds the size that fits a mailbox message. */
export class MailboxMessageTooLargeError extends Error {
  constructor(readonly bytes: number) {
    super(`heartbeat of ${bytes} bytes exceeds the size of a mailbox message`);
  }
}
