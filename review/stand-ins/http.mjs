// Small helpers over node:http for JSON requests and servers on loopback.
import http from 'node:http';
import net from 'node:net';

export const HOST = '127.0.0.1';

/** Ports that the system does not give to outgoing connections on its own, in blocks. */
const FIRST_PORT = 15_000;
const LAST_PORT = 30_000;
const BLOCK = 100;

function listenOn(port) {
  return new Promise((resolve) => {
    const server = net.createServer().once('error', () => resolve(null));
    server.listen(port, HOST, () => resolve(server));
  });
}

/**
 * Returns `count` free ports of one block. The block's first port stays open until the process
 * ends, so that runs beside this one take other blocks, also while a controller is down.
 */
export async function freePorts(count) {
  for (;;) {
    const blocks = Math.floor((LAST_PORT - FIRST_PORT) / BLOCK);
    const first = FIRST_PORT + Math.floor(Math.random() * blocks) * BLOCK;
    const lock = await listenOn(first);
    if (!lock) continue;
    lock.unref();
    const servers = [];
    for (let port = first + 1; port <= first + count; port++) servers.push(await listenOn(port));
    await Promise.all(
      servers.map((server) => new Promise((done) => (server ? server.close(done) : done()))),
    );
    if (servers.every((server) => server !== null))
      return servers.map((_, index) => first + 1 + index);
    lock.close();
  }
}

/**
 * Serves JSON over HTTP/1.1 with persistent connections. The handler returns `{ status, body }`,
 * or null to give no answer at all.
 */
export function serveJson(port, handler) {
  const server = http.createServer((request, response) => {
    const parts = [];
    request.on('data', (part) => parts.push(part));
    request.on('end', async () => {
      const text = Buffer.concat(parts).toString();
      let json;
      try {
        json = text === '' ? {} : JSON.parse(text);
      } catch {
        return send(response, { status: 400, body: { error: 'not JSON' } });
      }
      const reply = await handler(request, json);
      if (reply) send(response, reply);
    });
  });
  server.keepAliveTimeout = 600_000;
  server.headersTimeout = 610_000;
  server.requestTimeout = 0;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, HOST, () => resolve(server));
  });
}

function send(response, { status, body }) {
  if (response.destroyed) return;
  // A body that is a string already is sent as it stands.
  const text = typeof body === 'string' ? body : JSON.stringify(body ?? {});
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(text),
  });
  response.end(text);
}

/**
 * Sends a JSON request. Resolves to `{ status, body }`; status is 0 when no response came within
 * the time or the connection failed.
 */
export function requestJson({ port, method, path, body, timeoutMs, agent }) {
  return new Promise((resolve) => {
    const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body);
    let settled = false;
    const settle = (result) => {
      if (settled) return;
      settled = true;
      clearTimeout(timer);
      resolve(result);
    };
    const request = http.request(
      {
        host: HOST,
        port,
        method,
        path,
        agent,
        headers: {
          'Content-Type': 'application/json',
          'Content-Length': Buffer.byteLength(text),
        },
      },
      (response) => {
        const parts = [];
        response.on('data', (part) => parts.push(part));
        response.on('error', (error) => settle({ status: 0, body: { error: error.message } }));
        response.on('end', () => {
          try {
            settle({ status: response.statusCode, body: JSON.parse(Buffer.concat(parts)) });
          } catch (error) {
            settle({ status: 0, body: { error: error.message } });
          }
        });
      },
    );
    const timer = setTimeout(() => {
      settle({ status: 0, body: { error: 'no response in time' } });
      request.destroy();
    }, timeoutMs);
    request.on('error', (error) => settle({ status: 0, body: { error: error.message } }));
    request.end(text);
  });
}
