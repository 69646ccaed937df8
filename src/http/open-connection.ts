/** Opens client connections, with a connect timeout and an abort signal. */
import net from 'node:net';
import { NotSentError } from './errors.js';
import { Parser } from './parser.js';

/** Address on which a server listens. */
export interface Address {
  host: string;
  port: number;
}

/** A client connection and the parser of its responses. It carries one request at a time. */
export interface ClientConnection {
  socket: net.Socket;
  parser: Parser;
}

/** Parameters for opening a connection. */
export interface OpenOptions {
  address: Address;
  /** Maximum length of a response body. */
  maxBodyBytes: number;
  /** Connect timeout. */
  timeoutMs: number;
  /**
   * Aborts connecting. Has no effect when it was aborted before the call or once the
   * connection is established.
   */
  signal: AbortSignal | undefined;
  /** Called once when the socket has closed, even if it was never connected. */
  onClose: (socket: net.Socket) => void;
}

const MAX_LINE_BYTES = 8 * 1024;
const MAX_HEADER_LINES = 64;

/**
 * Opens a connection. Rejects with `NotSentError` when connecting fails, times
 * out or is aborted; the socket is then destroyed. Otherwise the caller owns
 * the socket, which is destroyed on its first error.
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
    const onAbort = () => fail('connect aborted');
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
    maxHeaderLines: MAX_HEADER_LINES,
    maxBodyBytes,
  });
}
