/** Servers and raw connections on the loopback address, on ports chosen by the system. */
import type { AddressInfo } from 'node:net';
import net from 'node:net';
import { type Handler, serve } from '../../src/http/server.js';

/** Runs a server with the handler for the duration of `work`. */
export async function withServer(
  handler: Handler,
  work: (port: number) => Promise<void>,
  maxConnections = 10,
): Promise<void> {
  const stop = new AbortController();
  const server = await serve(
    {
      host: '127.0.0.1',
      port: 0,
      handler,
      maxConnections,
      requestTimeoutMs: 60_000,
      idleTimeoutMs: 60_000,
      minEvictableIdleMs: 0,
      onError: () => {},
    },
    stop.signal,
  );
  try {
    await work((server.address() as AddressInfo).port);
  } finally {
    stop.abort();
  }
}

/** Sends the text over a new connection; resolves to everything received until the connection closes. */
export function sendRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    let received = '';
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    socket.on('data', (chunk) => {
      received += chunk;
    });
    socket.on('close', () => resolve(received));
    socket.on('error', reject);
  });
}
