/** Client of the agents: sends commands and reads heartbeats. */
import { parseAddress } from '../config/settings.js';
import { HttpClient } from '../http/client.js';
import { NotAttemptedError } from '../http/errors.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { TaskCommand } from '../model/task-command.js';
import { commandsBody, parseHeartbeat } from '../protocol/agent-protocol.js';
import { PATHS } from '../protocol/paths.js';

/** An agent's reply to commands. */
export interface CommandResult {
  /**
   * Whether the commands were executed. When false, none was, because the agent
   * has received a higher fencing token or is in another agent epoch.
   */
  executed: boolean;
  /** The agent's state after the commands. */
  heartbeat: Heartbeat;
}

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Sends commands to agents over persistent connections: one for each agent, and
 * a bounded number in total. Every agent also has a connection to this
 * controller, and without the bound the two together would leave no sockets for
 * the state service.
 */
export class AgentClient {
  /** Clients by address, the least recently used first. */
  private readonly clients = new Map<string, HttpClient>();

  constructor(
    private readonly timeoutMs: number,
    private readonly maxConnections: number,
  ) {}

  /**
   * Sends commands with a fencing token to an agent in the given epoch, if
   * `isStillValid` returns true when a connection is available. Rejects with:
   *
   * - `NotAttemptedError`: no command was executed; nothing was sent, for a
   *   local reason.
   * - `NotSentError`: no command was executed; no connection to the agent could
   *   be established.
   * - `NoResponseError`: all, some or none of the commands may have been
   *   executed, or may still be. Only a later heartbeat shows which.
   * - `MalformedMessageError`: the reply is not a heartbeat.
   */
  async command(
    address: string,
    token: number,
    agentEpoch: number,
    commands: TaskCommand[],
    signal: AbortSignal,
    isStillValid: () => boolean,
  ): Promise<CommandResult> {
    const response = await this.clientFor(address).request({
      method: 'POST',
      target: PATHS.commands,
      body: commandsBody(token, agentEpoch, commands),
      timeoutMs: this.timeoutMs,
      signal,
      isStillValid,
    });
    return { executed: response.status === 200, heartbeat: parseHeartbeat(response.body) };
  }

  /**
   * Reads the current heartbeat of a machine from its agent. As the reply to
   * this request, it cannot be a delayed duplicate of an earlier heartbeat.
   * Rejects like `command`.
   */
  static async fetchHeartbeat(address: string, timeoutMs: number): Promise<Heartbeat> {
    const client = createClient(address);
    try {
      const response = await client.request({
        method: 'GET',
        target: PATHS.currentHeartbeat,
        timeoutMs,
      });
      return parseHeartbeat(response.body);
    } finally {
      client.close();
    }
  }

  /** Closes the connections to all agents except those at the given addresses. */
  retainOnly(addresses: Set<string>): void {
    for (const address of this.clients.keys())
      if (!addresses.has(address)) this.closeClient(address);
  }

  /** Closes idle connections and rejects the requests that wait for one. Requests in flight continue. */
  close(): void {
    for (const address of this.clients.keys()) this.closeClient(address);
  }

  /** Returns the client of an address and marks it as the most recently used. */
  private clientFor(address: string): HttpClient {
    let client = this.clients.get(address);
    if (client) {
      this.clients.delete(address);
    } else {
      if (this.clients.size >= this.maxConnections) this.evictLeastRecentlyUsed();
      client = createClient(address);
    }
    this.clients.set(address, client);
    return client;
  }

  /**
   * Closes the least recently used client that is idle. A client with a request
   * in flight is kept, so that the outcome of its commands does not become
   * unknown. Throws `NotAttemptedError` when no client is idle.
   */
  private evictLeastRecentlyUsed(): void {
    for (const [address, client] of this.clients) {
      if (!client.isIdle) continue;
      this.closeClient(address);
      return;
    }
    throw new NotAttemptedError('all connections to agents are in use');
  }

  private closeClient(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }
}

function createClient(address: string): HttpClient {
  return new HttpClient(parseAddress(address), { connections: 1, maxBodyBytes: MAX_BODY_BYTES });
}
