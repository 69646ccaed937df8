/** Handlers of requests and statuses that peers send. */
import type { Reply } from '../../http/reply.js';
import type { PeerStatus } from '../../records/peer-frames.js';
import {
  type CancellationNotice,
  decodeCancellationNotice,
  decodeForwardedRequest,
  encodeForwardedReply,
  type ForwardedRequest,
} from '../../records/peer-requests.js';
import { mapIfObject } from '../../records/stored-form.js';
import { PeerProtocolError } from './peer-errors.js';

/** Names of operations on the wire. Their payloads are defined in records/peer-requests. */
export const PEER_OPERATIONS = {
  serveUser: 'user',
  handleHeartbeat: 'report',
  announceCancellation: 'cancelled',
} as const;

/** Callbacks through which peers reach the rest of the controller. */
export interface PeerHandlers {
  /** Returns this controller's status, which is sent to every peer each renewal interval. */
  currentStatus(): PeerStatus;
  /** Processes a leader term that a peer reports. If this controller holds an older term, that term has ended. */
  observeTerm(term: number): void;
  /** Serves a user's request that a peer could not serve. The request must not be forwarded again. */
  serveUser(method: string, target: string, body: Buffer): Promise<Reply>;
  /** Handles an agent's heartbeat that a peer relays to the leader. `body` is as the agent sent it. */
  handleHeartbeat(body: Buffer): Promise<Reply>;
  /**
   * Processes a cancellation that is durable as of `revision` and that a peer is
   * about to confirm to the user. No task of the job may start from then on.
   */
  announceCancellation(jobId: string, revision: number): void;
}

/**
 * Serves one request of a peer and returns the payload of the response.
 *
 * @throws PeerProtocolError for an operation that this version does not know,
 * and whatever the handler throws.
 */
export async function servePeerRequest(
  handlers: PeerHandlers,
  operation: string,
  payload: unknown,
): Promise<unknown> {
  switch (operation) {
    case PEER_OPERATIONS.handleHeartbeat:
      return encodeForwardedReply(
        await handlers.handleHeartbeat(Buffer.from(payload as Uint8Array)),
      );
    case PEER_OPERATIONS.announceCancellation: {
      const { jobId, revision }: CancellationNotice = mapIfObject(
        payload,
        decodeCancellationNotice,
      );
      handlers.announceCancellation(jobId, revision);
      return null;
    }
    case PEER_OPERATIONS.serveUser: {
      const { method, target, body }: ForwardedRequest = mapIfObject(
        payload,
        decodeForwardedRequest,
      );
      return encodeForwardedReply(await handlers.serveUser(method, target, Buffer.from(body)));
    }
    default:
      throw new PeerProtocolError(`unknown peer operation ${operation}`);
  }
}
