/** Small HTTP helpers of the stand-ins: a JSON server and a JSON client, on loopback only. */
import http from 'node:http';

/**
 * Starts a JSON server on a free loopback port. `handler(method, path, query, body)` returns
 * `{status, body}`, or null to give no answer at all.
 */
export async function serveJson(handler) {
  const sockets = new Set();
  const server = http.createServer(async (request, response) => {
    const parts = [];
    for await (const part of request) parts.push(part);
    const url = new URL(request.url, 'http://127.0.0.1');
    let body;
    try {
      const text = Buffer.concat(parts).toString();
      body = text === '' ? undefined : JSON.parse(text);
    } catch {
      response.writeHead(400, { 'content-type': 'application/json' }).end('{"error":"not JSON"}');
      return;
    }
    const path = url.pathname.split('/').map(decodeURIComponent).join('/');
    const reply = await handler(request.method, path, url.searchParams, body);
    if (reply === null || response.destroyed) return;
    const text = JSON.stringify(reply.body ?? {});
    response.writeHead(reply.status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  });
  server.keepAliveTimeout = 300_000;
  server.requestTimeout = 0;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => sockets.delete(socket));
  });
  server.on('clientError', (_error, socket) => socket.destroy());
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    close() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Sends a JSON request. Resolves to `{status, body}`; rejects without a complete response in time. */
export function callJson(address, method, path, body, { timeoutMs = 5000, agent } = {}) {
  const [host, port] = address.split(':');
  const text = body === undefined ? undefined : JSON.stringify(body);
  return new Promise((resolve, reject) => {
    const headers =
      text === undefined
        ? {}
        : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
    const request = http.request({ host, port, method, path, headers, agent }, (response) => {
      const parts = [];
      response.on('data', (part) => parts.push(part));
      response.on('error', (error) => finish(error));
      response.on('end', () => {
        try {
          const raw = Buffer.concat(parts).toString();
          finish(null, { status: response.statusCode, body: raw === '' ? {} : JSON.parse(raw) });
        } catch (error) {
          finish(error);
        }
      });
    });
    const timer = setTimeout(() => finish(new Error('no response in time')), timeoutMs);
    let settled = false;
    const finish = (error, value) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      if (error) {
        request.destroy();
        reject(error);
      } else resolve(value);
    };
    request.on('error', (error) => finish(error));
    request.end(text);
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
