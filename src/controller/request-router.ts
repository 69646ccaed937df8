/** Routes the HTTP requests of agents, users and health checks, and forwards users' requests to a peer if necessary. */
import type { Message } from '../http/message.js';
import type { Reply } from '../http/reply.js';
import { CANCEL_PATH_SEGMENT, PATHS } from '../protocol/paths.js';
import type { JobApi } from './api/job-api.js';
import { refuse } from './api/refusals.js';
import type { ControllerContext } from './context.js';
import type { ControllerHealth } from './health.js';
import type { HeartbeatHandler } from './heartbeats/heartbeat-handler.js';
import type { PeerStatuses } from './membership/peer-statuses.js';
import type { Peers } from './membership/peers.js';

/** Components that requests are routed to. */
export interface RequestRouterParts {
  jobApi: Pick<JobApi, 'submit' | 'query' | 'cancel'>;
  heartbeats: Pick<HeartbeatHandler, 'handle'>;
  health: Pick<
    ControllerHealth,
    'isStateServiceFailing' | 'isStateServiceUnresponsive' | 'isHealthy'
  >;
  peers: Pick<Peers, 'forwardRequest'> & { statuses: Pick<PeerStatuses, 'findServedPeer'> };
}

/** Dispatches each request to its handler. Stateless. */
export class RequestRouter {
  constructor(
    private readonly ctx: Pick<ControllerContext, 'log' | 'machineTypes'>,
    private readonly parts: RequestRouterParts,
  ) {}

  /** Serves an HTTP request: an agent's heartbeat, a health check or a user's request. */
  async route(request: Message): Promise<Reply> {
    const target = request.target.split('?', 1)[0] as string;
    if (target === PATHS.heartbeat)
      return requireMethod('POST', request.method, () =>
        this.parts.heartbeats.handle(request.body),
      );
    if (target === PATHS.health)
      return requireMethod('GET', request.method, () => this.healthReply());
    return this.serveUserOrForward(request.method, target, request.body);
  }

  /**
   * Serves a user's request on this node and never forwards it. Requests that a
   * peer has forwarded are served this way, so none is forwarded twice.
   */
  async serveUser(method: string, target: string, body: Buffer): Promise<Reply> {
    const { jobApi } = this.parts;
    if (target === PATHS.jobs) return requireMethod('POST', method, () => jobApi.submit(body));
    if (target.startsWith(`${PATHS.jobs}/`)) {
      const path = target.slice(PATHS.jobs.length + 1).split('/');
      const id = path[0] as string;
      if (path.length === 1) return requireMethod('GET', method, () => jobApi.query(id));
      if (path.length === 2 && path[1] === CANCEL_PATH_SEGMENT)
        return requireMethod('POST', method, () => jobApi.cancel(id));
    }
    return { status: 404, body: { error: 'no such path' } };
  }

  /**
   * Serves a user's request on this node. While the state service fails for this
   * node but not for a peer, or when the reply of this node is 503, forwards the
   * request to such a peer. When the state service does not respond at all and no
   * peer can serve the request, the user gets a refusal at once instead of waiting
   * for a timeout.
   */
  private async serveUserOrForward(method: string, target: string, body: Buffer): Promise<Reply> {
    const { health } = this.parts;
    if (health.isStateServiceFailing() && target.startsWith(PATHS.jobs)) {
      const forwarded = await this.forwardToPeer(method, target, body);
      if (forwarded) return forwarded;
      if (health.isStateServiceUnresponsive()) return refuse('stateServiceUnreachable');
    }
    const reply = await this.serveUser(method, target, body);
    if (reply.status !== 503) return reply;
    return (await this.forwardToPeer(method, target, body)) ?? reply;
  }

  /**
   * Forwards the request to a peer that the state service serves. Returns null
   * if there is no such peer, the request fails or the reply is 503.
   */
  private async forwardToPeer(method: string, target: string, body: Buffer): Promise<Reply | null> {
    const { peers } = this.parts;
    const peer = peers.statuses.findServedPeer();
    if (peer === null) return null;
    try {
      const reply = await peers.forwardRequest(peer, method, target, body);
      return reply.status === 503 ? null : reply;
    } catch (err) {
      this.ctx.log.debug(
        { peer, err },
        'forwarding the request to the peer failed; replying from this node',
      );
      return null;
    }
  }

  private healthReply(): Reply {
    if (this.parts.health.isHealthy) return { status: 200, body: { status: 'ok' } };
    const error = this.ctx.machineTypes
      ? 'no peer and no state service'
      : 'machine types are not known';
    return { status: 503, body: { error } };
  }
}

/** Calls the handler if the request has the allowed method; replies 405 otherwise. */
function requireMethod(
  allowed: string,
  method: string,
  handler: () => Reply | Promise<Reply>,
): Reply | Promise<Reply> {
  if (method !== allowed) return { status: 405, body: { error: `use ${allowed}` } };
  return handler();
}
