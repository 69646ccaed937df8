import { parseAddress } from '../config/settings.js';
import { HttpClient } from '../http/client.js';
import { NotAttemptedError } from '../http/errors.js';
import type { Heartbeat } from '../model/heartbeat.js';
import type { TaskCommand } from '../model/task-command.js';
import { commandsBody, parseHeartbeat } from '../protocol/agent-protocol.js';
import { PATHS } from '../protocol/paths.js';

export interface CommandResult {
  /** False: nothing was executed, since a higher token or another session is there. */
  executed: boolean;
  heartbeat: Heartbeat;
}

const BODY_LIMIT = 4 * 1024 * 1024;

/**
 * Sends commands straight to workers, over one kept connection each as far as
 * the sockets go: every worker has one to this node already, and without a
 * bound the two together left none for the state service.
 */
export class AgentClient {
  /** The least recently used first. */
  private readonly clients = new Map<string, HttpClient>();

  constructor(
    private readonly timeoutMs: number,
    private readonly sockets: number,
  ) {}

  async command(
    address: string,
    token: number,
    session: number,
    commands: TaskCommand[],
    signal: AbortSignal,
    fit: () => boolean,
  ): Promise<CommandResult> {
    const response = await this.client(address).request({
      method: 'POST',
      target: PATHS.commands,
      body: commandsBody(token, session, commands),
      timeoutMs: this.timeoutMs,
      signal,
      isStillValid: fit,
    });
    return { executed: response.status === 200, heartbeat: parseHeartbeat(response.body) };
  }

  private client(address: string): HttpClient {
    let client = this.clients.get(address);
    if (client) this.clients.delete(address);
    else {
      if (this.clients.size >= this.sockets) this.evictIdleClient();
      client = new HttpClient(parseAddress(address), { connections: 1, bodyLimit: BODY_LIMIT });
    }
    this.clients.set(address, client);
    return client;
  }

  private evictIdleClient(): void {
    for (const [address, client] of this.clients) {
      if (!client.isIdle) continue;
      client.close();
      this.clients.delete(address);
      return;
    }
    throw new NotAttemptedError('every socket for commands is in use');
  }

  /** What the machine itself says now: no late copy can stand for the answer to one's own question. */
  static async fetchHeartbeat(address: string, timeoutMs: number): Promise<Heartbeat> {
    const client = new HttpClient(parseAddress(address), {
      connections: 1,
      bodyLimit: BODY_LIMIT,
    });
    try {
      return parseHeartbeat(
        (await client.request({ method: 'GET', target: PATHS.show, timeoutMs })).body,
      );
    } finally {
      client.close();
    }
  }

  /** Closes the connections to all but these. */
  retainOnly(addresses: Set<string>): void {
    for (const [address, client] of this.clients)
      if (!addresses.has(address)) {
        client.close();
        this.clients.delete(address);
      }
  }

  close(): void {
    for (const client of this.clients.values()) client.close();
    this.clients.clear();
  }
}
