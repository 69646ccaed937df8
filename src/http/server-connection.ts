/** A connection of the server, from its first request until it closes. */
import type net from 'node:net';
import type { ConnectionTable } from './connection-table.js';
import { HttpParseError } from './errors.js';
import type { Message } from './message.js';
import { Parser, REQUEST_LIMITS } from './parser.js';
import { encodeReply, type Reply } from './reply.js';
import { SocketReader } from './socket-reader.js';

/** Handles a request. When it throws or rejects, the client receives a 500. */
export type Handler = (request: Message) => Promise<Reply> | Reply;

/** Dependencies of a connection, shared by all connections of a server. */
export interface ServerConnectionOptions {
  table: ConnectionTable;
  handler: Handler;
  /** Called with each error of the handler. */
  onError: (error: unknown) => void;
}

/** Limit on the replies buffered for a client that does not read them; beyond it, the connection is closed. */
const MAX_UNSENT_BYTES = REQUEST_LIMITS.maxBodyBytes * 2;

/** Serves the requests of one connection in order, one at a time. */
export class ServerConnection {
  private readonly parser = new Parser('request', REQUEST_LIMITS);
  private hasReplied = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: ServerConnectionOptions,
  ) {}

  /**
   * Serves requests until the client ends its side, the connection closes or
   * the last reply is written. Once it resolves, no more requests are read; the
   * socket closes after its last reply or on its timeout.
   */
  async run(): Promise<void> {
    const { socket, parser } = this;
    const { table, handler, onError } = this.options;
    const reader = SocketReader.attach(socket);
    // After a socket error no reply can be delivered.
    socket.on('error', () => socket.destroy());
    socket.once('close', () => table.remove(socket));
    let isRequestPartial = false;
    for (let data = await reader.next(); data; data = await reader.next()) {
      if (!isRequestPartial) table.markTransferring(socket);
      const requests = parseRequests(parser, data);
      if (!Array.isArray(requests)) return this.sendLast(requests);
      isRequestPartial = parser.hasPartialMessage;
      for (const request of requests) {
        table.markBusy(socket);
        let reply: Reply;
        try {
          reply = await handler(request);
        } catch (error) {
          onError(error);
          reply = { status: 500, body: { error: 'internal error' } };
        }
        if (socket.destroyed || !this.send(reply, request.keepAlive)) return;
      }
    }
    socket.end();
    table.markTransferring(socket);
  }

  /** Sends a reply; returns false when no further request of the connection is to be served. */
  private send(reply: Reply, keepAlive: boolean): boolean {
    const { socket } = this;
    const { table } = this.options;
    const isFirst = !this.hasReplied;
    this.hasReplied = true;
    if (!keepAlive || (isFirst && table.isSaturated)) {
      this.sendLast(reply);
      return false;
    }
    socket.write(encodeReply(reply, true));
    if (socket.writableLength > MAX_UNSENT_BYTES) {
      socket.destroy();
      return false;
    }
    table.markIdle(socket);
    return true;
  }

  private sendLast(reply: Reply): void {
    this.socket.end(encodeReply(reply, false));
    this.options.table.markTransferring(this.socket);
  }
}

/** Returns the requests that the data completes, or the reply to malformed data. */
function parseRequests(parser: Parser, data: Buffer): Message[] | Reply {
  try {
    return parser.push(data);
  } catch (error) {
    const status = error instanceof HttpParseError ? error.status : 400;
    return { status, body: { error: (error as Error).message } };
  }
}
