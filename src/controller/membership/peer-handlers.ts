/** What a controller does for its peers: the handlers of their requests. */
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

/** Names of operations as they are sent; the payload of each is in records/peer-requests. */
export const PEER_OPERATIONS = {
  serveUser: 'user',
  handleHeartbeat: 'report',
  announceCancellation: 'cancelled',
} as const;

/** What the rest of the controller does when a peer asks for it. */
export interface PeerHandlers {
  /** This controller's status, sent to every peer each renewal interval. */
  currentStatus(): PeerStatus;
  /** A peer knows of this term: an older term of this controller has ended. */
  observeTerm(term: number): void;
  /** Serves a user's request that a peer can't serve. It must not be forwarded once more. */
  serveUser(method: string, target: string, body: Buffer): Promise<Reply>;
  /** Handles an agent's heartbeat, as the agent sent it, that a peer forwards to the leader. */
  handleHeartbeat(body: Buffer): Promise<Reply>;
  /**
   * A peer is about to confirm this job's cancellation, which is durable as of
   * this revision, to its user: nothing of the job may start from now on.
   */
  announceCancellation(jobId: string, revision: number): void;
}

/**
 * Serves one request of a peer and returns the payload of the response.
 *
 * @throws PeerProtocolError for an operation that this version does not know;
 * whatever the handler throws.
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
      const { job, revision }: CancellationNotice = mapIfObject(payload, decodeCancellationNotice);
      handlers.announceCancellation(job, revision);
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
      throw new PeerProtocolError(`unknown operation ${operation}`);
  }
}
