import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { AddressInfo } from 'node:net';
import net from 'node:net';
import { mock, test } from 'node:test';
import { HttpClient } from '../src/http/client.js';
import { NoResponseError, NotSentError } from '../src/http/errors.js';
import type { Handler } from '../src/http/server.js';
import { withServer } from './support/http.js';

// This test runs first: mocked timers would leave the timers of other tests' sockets running.
test('a connection that is established after its waiting request has timed out serves the next request', async () => {
  let first: net.Socket | null = null;
  const server = net.createServer((socket) => {
    if (first)
      socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'));
    first ??= socket;
  });
  server.listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient(
    { host: '127.0.0.1', port },
    { connections: 1, maxBodyBytes: 1000 },
  );
  mock.timers.enable({ apis: ['setTimeout', 'Date'] });
  try {
    const interrupted = client.request({ method: 'POST', target: '/', body: {}, timeoutMs: 5000 });
    const waiting = client.request({ method: 'POST', target: '/', body: {}, timeoutMs: 500 });
    server.once('connection', (socket) => socket.once('data', () => socket.destroy()));
    await assert.rejects(interrupted);
    // The waiting request times out while the client opens a new connection for it.
    mock.timers.tick(500);
    await assert.rejects(waiting, NotSentError);
    assert.equal(
      (await client.request({ method: 'POST', target: '/', body: {}, timeoutMs: 5000 })).status,
      200,
    );
  } finally {
    mock.timers.reset();
    client.close();
    server.close();
  }
});

test('client and server exchange several requests over one connection', async () => {
  const hosts = new Set<string>();
  await withServer(
    (request) => {
      hosts.add(request.headers.get('host') ?? '');
      return { status: 200, body: { got: request.body.toString() } };
    },
    async (port) => {
      const client = new HttpClient(
        { host: '127.0.0.1', port },
        { connections: 1, maxBodyBytes: 1000 },
      );
      for (const n of [1, 2, 3]) {
        const response = await client.request({
          method: 'POST',
          target: '/x',
          body: { n },
          timeoutMs: 5000,
        });
        assert.deepEqual(response, { status: 200, body: { got: `{"n":${n}}` } });
      }
      client.close();
      assert.equal(hosts.size, 1);
    },
  );
});

test('a request is rejected with NotSentError when the connection is refused', async () => {
  const server = net.createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const client = new HttpClient(
    { host: '127.0.0.1', port },
    { connections: 1, maxBodyBytes: 1000 },
  );
  await assert.rejects(
    client.request({ method: 'GET', target: '/', timeoutMs: 5000 }),
    NotSentError,
  );
});

test('a request that is no longer valid when a connection becomes free is not sent', async () => {
  let served = 0;
  let isValid = true;
  const handler: Handler = () => {
    served++;
    isValid = false;
    return { status: 200, body: {} };
  };
  await withServer(handler, async (port) => {
    const client = new HttpClient(
      { host: '127.0.0.1', port },
      { connections: 1, maxBodyBytes: 1000 },
    );
    const isStillValid = () => isValid;
    const first = client.request({
      method: 'POST',
      target: '/',
      body: {},
      timeoutMs: 5000,
      isStillValid,
    });
    // This request waits for the only connection. Meanwhile the handler of the first one makes it invalid.
    const second = client.request({
      method: 'POST',
      target: '/',
      body: {},
      timeoutMs: 5000,
      isStillValid,
    });
    assert.equal((await first).status, 200);
    await assert.rejects(second, NotSentError);
    assert.equal(served, 1);
    isValid = true;
    assert.equal(
      (
        await client.request({
          method: 'POST',
          target: '/',
          body: {},
          timeoutMs: 5000,
          isStillValid,
        })
      ).status,
      200,
    );
    client.close();
  });
});

test('a request is rejected when the response is truncated, not JSON or not HTTP', async () => {
  const replies = [
    'HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{"half":',
    'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{x}',
    'SMTP 200\r\n\r\n',
  ];
  const server = net.createServer((socket) => {
    socket.on('error', () => {});
    socket.once('data', () => socket.end(replies.shift() ?? ''));
  });
  server.listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient(
    { host: '127.0.0.1', port },
    { connections: 1, maxBodyBytes: 1000 },
  );
  for (let i = 0; i < 3; i++)
    await assert.rejects(
      client.request({ method: 'POST', target: '/', body: {}, timeoutMs: 5000 }),
      /closed|JSON|status line/,
    );
  client.close();
  server.close();
});

test('a request on a reused connection that the server closes is retried only when it is a GET', async () => {
  /** The server closes a connection at the first request after this many. */
  const requestsPerConnection = 1;
  let connections = 0;
  const server = net.createServer((socket) => {
    connections++;
    let requests = 0;
    socket.on('error', () => {});
    socket.on('data', () => {
      if (requests++ >= requestsPerConnection) socket.destroy();
      else socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient(
    { host: '127.0.0.1', port },
    { connections: 1, maxBodyBytes: 1000 },
  );
  const get = () => client.request({ method: 'GET', target: '/', timeoutMs: 60_000 });
  const post = () => client.request({ method: 'POST', target: '/', body: {}, timeoutMs: 60_000 });
  try {
    assert.equal((await get()).status, 200);
    assert.equal((await get()).status, 200);
    assert.equal(connections, 2);
    await assert.rejects(post(), (error: unknown) => {
      assert.ok(error instanceof NoResponseError && !(error instanceof NotSentError));
      return true;
    });
    assert.equal(connections, 2);
  } finally {
    client.close();
    server.close();
  }
});
