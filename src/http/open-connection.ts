/** Opening of a client's connection, within a time-out and until a signal. */
import net from 'node:net';
import { NotSentError } from './errors.js';
import { Parser } from './parser.js';

/** Where a server listens. */
export interface Address {
  host: string;
  port: number;
}

/** A client's connection with the parser of its responses. It serves one request at a time. */
export interface ClientConnection {
  socket: net.Socket;
  parser: Parser;
}

/** What to open, and until when. */
export interface OpenOptions {
  address: Address;
  /** Longest body of a response, in bytes. */
  maxBodyBytes: number;
  timeoutMs: number;
  signal: AbortSignal | undefined;
  /** Called once when the socket has closed, whether or not it was ever connected. */
  onClose: (socket: net.Socket) => void;
}

const MAX_LINE_BYTES = 8 * 1024;
const MAX_HEADERS = 64;

/**
 * A connection, whose socket is destroyed by its first error. Rejects with
 * `NotSentError` when it can't be opened; the socket is then destroyed.
 */
export function openConnection(options: OpenOptions): Promise<ClientConnection> {
  const { address, maxBodyBytes, timeoutMs, signal, onClose } = options;
  return new Promise((resolve, reject) => {
    const socket = net.connect({ ...address, noDelay: true });
    const cleanUp = () => {
      clearTimeout(timer);
      signal?.removeEventListener('abort', onAbort);
    };
    const fail = (message: string) => {
      cleanUp();
      socket.destroy();
      reject(new NotSentError(message));
    };
    const onAbort = () => fail('aborted');
    const timer = setTimeout(() => fail('connect timed out'), timeoutMs);
    signal?.addEventListener('abort', onAbort, { once: true });
    socket.once('error', (error) => fail(error.message));
    socket.once('close', () => onClose(socket));
    socket.once('connect', () => {
      cleanUp();
      socket.removeAllListeners('error');
      socket.on('error', () => socket.destroy());
      resolve({ socket, parser: createParser(maxBodyBytes) });
    });
  });
}

function createParser(maxBodyBytes: number): Parser {
  return new Parser('response', {
    maxLineBytes: MAX_LINE_BYTES,
    maxHeaderLines: MAX_HEADERS,
    maxBodyBytes: maxBodyBytes,
  });
}
