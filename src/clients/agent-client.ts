import { splitAddress } from '../config/settings.js';
import { HttpClient, NotTried } from '../http/client.js';
import type { MachineReport, Order } from '../model/model.js';
import { commandsBody, PATHS, parseReport } from '../protocol/wire.js';

export interface CommandAnswer {
  /** False: nothing was executed, since a higher token or another session is there. */
  executed: boolean;
  report: MachineReport;
}

const BODY_LIMIT = 4 * 1024 * 1024;

/**
 * Sends commands straight to workers, over one kept connection each as far as
 * the sockets go: every worker has one to this node already, and without a
 * bound the two together left none for the state service.
 */
export class WorkerClient {
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
    orders: Order[],
    signal: AbortSignal,
    fit: () => boolean,
  ): Promise<CommandAnswer> {
    const answer = await this.client(address).request(
      'POST',
      PATHS.commands,
      commandsBody(token, session, orders),
      this.timeoutMs,
      signal,
      fit,
    );
    return { executed: answer.status === 200, report: parseReport(answer.body) };
  }

  private client(address: string): HttpClient {
    let client = this.clients.get(address);
    if (client) this.clients.delete(address);
    else {
      if (this.clients.size >= this.sockets) this.makeRoom();
      client = new HttpClient(splitAddress(address), { connections: 1, bodyLimit: BODY_LIMIT });
    }
    this.clients.set(address, client);
    return client;
  }

  private makeRoom(): void {
    for (const [address, client] of this.clients) {
      if (!client.resting) continue;
      client.close();
      this.clients.delete(address);
      return;
    }
    throw new NotTried('every socket for commands is in use');
  }

  /** What the machine itself says now: no late copy can stand for the answer to one's own question. */
  static async show(address: string, timeoutMs: number): Promise<MachineReport> {
    const client = new HttpClient(splitAddress(address), {
      connections: 1,
      bodyLimit: BODY_LIMIT,
    });
    try {
      return parseReport((await client.request('GET', PATHS.show, undefined, timeoutMs)).body);
    } finally {
      client.close();
    }
  }

  /** Closes the connections to all but these. */
  keep(addresses: Set<string>): void {
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
