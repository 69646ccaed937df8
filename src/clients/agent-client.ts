/** Direct commands to agents, and direct reads of their heartbeats. */
import { parseAddress } from '../config/settings.js';
import { HttpClient } from '../http/client.js';
import { NotAttemptedError } from '../http/errors.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { TaskCommand } from '../model/task-command.js';
import { commandsBody, parseHeartbeat } from '../protocol/agent-protocol.js';
import { PATHS } from '../protocol/paths.js';

/** An agent's answer to commands. */
export interface CommandResult {
  /** False: nothing was executed, since the agent knows a higher fencing token or is in another agent epoch. */
  executed: boolean;
  /** The agent's state after the commands. */
  heartbeat: Heartbeat;
}

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Sends commands directly to agents, over one kept connection each within a
 * bound: every agent has a connection to this controller already, and without
 * the bound the two together left no sockets for the state service.
 */
export class AgentClient {
  /** By address, the least recently used first. */
  private readonly clients = new Map<string, HttpClient>();

  constructor(
    private readonly timeoutMs: number,
    private readonly maxConnections: number,
  ) {}

  /**
   * Sends commands under a fencing token to an agent in a given epoch. Rejects
   * with `NotAttemptedError` (none was executed, and the agent was not even
   * asked), `NotSentError` (none was executed) or `NoResponseError` (all, some
   * or none may have been executed, or may yet be: only a later heartbeat can
   * tell), and with `MalformedMessageError` when the answer is no heartbeat.
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
   * The present heartbeat of a machine, read from its agent: no late copy of an
   * earlier heartbeat can be taken for the answer to one's own request. Rejects
   * like `command`.
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

  /** Closes the connections to all agents but those at these addresses. */
  retainOnly(addresses: Set<string>): void {
    for (const address of this.clients.keys())
      if (!addresses.has(address)) this.closeClient(address);
  }

  /** Closes all connections; requests that wait for one are rejected. */
  close(): void {
    for (const address of this.clients.keys()) this.closeClient(address);
  }

  /** The client of the address, now the most recently used. */
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

  /** Never one with a request under way: whether its commands were executed would stay unknown. */
  private evictLeastRecentlyUsed(): void {
    for (const [address, client] of this.clients) {
      if (!client.isIdle) continue;
      this.closeClient(address);
      return;
    }
    throw new NotAttemptedError('every socket for commands is in use');
  }

  private closeClient(address: string): void {
    this.clients.get(address)?.close();
    this.clients.delete(address);
  }
}

function createClient(address: string): HttpClient {
  return new HttpClient(parseAddress(address), { connections: 1, maxBodyBytes: MAX_BODY_BYTES });
}
