/** One connection of the server, from its first request to its end. */
import type net from 'node:net';
import type { ConnectionTable } from './connection-table.js';
import { HttpParseError } from './errors.js';
import type { Message } from './message.js';
import { Parser, REQUEST_LIMITS } from './parser.js';
import { encodeReply, type Reply } from './reply.js';
import { SocketReader } from './socket-reader.js';

/** Answers a request. What it throws is answered with 500. */
export type Handler = (request: Message) => Promise<Reply> | Reply;

/** What a connection needs of its server. */
export interface ServerConnectionOptions {
  table: ConnectionTable;
  handler: Handler;
  /** Takes what a handler has thrown. */
  onError: (error: unknown) => void;
}

/** A peer that never reads must not make us keep more of its replies than this, in bytes. */
const MAX_UNSENT_BYTES = REQUEST_LIMITS.maxBodyBytes * 2;

/** Serves the requests of one connection one at a time, in their order. */
export class ServerConnection {
  private readonly parser = new Parser('request', REQUEST_LIMITS);
  private hasReplied = false;

  constructor(
    private readonly socket: net.Socket,
    private readonly options: ServerConnectionOptions,
  ) {}

  /** Resolves when no more requests are read. The socket closes with the last reply or by its time-out. */
  async run(): Promise<void> {
    const { socket, parser } = this;
    const { table, handler, onError } = this.options;
    const reader = SocketReader.attach(socket);
    // The connection broke; nothing is owed to it.
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

  /** Sends a reply; false: the connection ends with it. */
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

/** The requests that the bytes complete, or the reply to bytes that are no request. */
function parseRequests(parser: Parser, data: Buffer): Message[] | Reply {
  try {
    return parser.push(data);
  } catch (error) {
    const status = error instanceof HttpParseError ? error.status : 400;
    return { status, body: { error: (error as Error).message } };
  }
}
