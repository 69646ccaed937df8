/** Errors of requests between controllers, beyond those of the connection itself. */

/** A peer sent what this version does not understand. */
export class PeerProtocolError extends Error {}

/** A node did not answer through the mailbox a moment ago, and is not tried again yet. */
export class MailboxBackoffError extends Error {
  constructor(readonly node: string) {
    super(`mailbox of ${node} is backed off`);
  }
}

/** A heartbeat is larger than the state service lets a mailbox message be. */
export class MailboxMessageTooLargeError extends Error {
  constructor(readonly bytes: number) {
    super(`${bytes} bytes are too large for the mailbox`);
  }
}
