import assert from 'node:assert/strict';
import type { AddressInfo } from 'node:net';
import net from 'node:net';
import { test } from 'node:test';
import { HttpClient, NotSent } from '../src/http/client.js';
import { type Handler, serve } from '../src/http/server.js';

async function serving(handler: Handler, body: (port: number) => Promise<void>): Promise<void> {
  const stop = new AbortController();
  const server = await serve(
    {
      host: '127.0.0.1',
      port: 0,
      handler,
      maxConnections: 10,
      requestMs: 60_000,
      idleMs: 60_000,
      onError: () => {},
    },
    stop.signal,
  );
  try {
    await body((server.address() as AddressInfo).port);
  } finally {
    stop.abort();
  }
}

function talk(port: number, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    let got = '';
    const socket = net.connect(port, '127.0.0.1', () => socket.write(text));
    socket.on('data', (d) => {
      got += d;
    });
    socket.on('close', () => resolve(got));
    socket.on('error', reject);
  });
}

test('client and server keep one connection for several requests', async () => {
  const ports = new Set<string>();
  await serving(
    (r) => {
      ports.add(r.headers.get('host') ?? '');
      return { status: 200, body: { got: r.body.toString() } };
    },
    async (port) => {
      const client = new HttpClient(
        { host: '127.0.0.1', port },
        { connections: 1, bodyLimit: 1000 },
      );
      for (const n of [1, 2, 3]) {
        const answer = await client.request('POST', '/x', { n }, 5000);
        assert.deepEqual(answer, { status: 200, body: { got: `{"n":${n}}` } });
      }
      client.close();
      assert.equal(ports.size, 1);
    },
  );
});

test('a handler that throws gives 500, a malformed request 400, and the server goes on', async () => {
  await serving(
    () => {
      throw new Error('boom');
    },
    async (port) => {
      assert.match(
        await talk(port, 'GET / HTTP/1.1\r\nConnection: close\r\n\r\n'),
        /^HTTP\/1\.1 500 /,
      );
      assert.match(
        await talk(port, 'nonsense\r\n\r\n'),
        /^HTTP\/1\.1 400 [\s\S]*Connection: close/,
      );
      assert.match(
        await talk(port, 'GET / HTTP/1.1\r\nConnection: close\r\n\r\n'),
        /^HTTP\/1\.1 500 /,
      );
    },
  );
});

test('a refused connection is known not to have carried the request', async () => {
  const server = net.createServer().listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  const client = new HttpClient({ host: '127.0.0.1', port }, { connections: 1, bodyLimit: 1000 });
  await assert.rejects(client.request('GET', '/', undefined, 5000), NotSent);
});

test('what waited until its sender was no longer entitled does not leave', async () => {
  let served = 0;
  let entitled = true;
  const handler: Handler = () => {
    served++;
    entitled = false;
    return { status: 200, body: {} };
  };
  await serving(handler, async (port) => {
    const client = new HttpClient({ host: '127.0.0.1', port }, { connections: 1, bodyLimit: 1000 });
    const fit = () => entitled;
    const first = client.request('POST', '/', {}, 5000, undefined, fit);
    // Waits for the only connection while the process stands still and its proof runs out.
    const second = client.request('POST', '/', {}, 5000, undefined, fit);
    assert.equal((await first).status, 200);
    await assert.rejects(second, NotSent);
    assert.equal(served, 1);
    entitled = true;
    assert.equal((await client.request('POST', '/', {}, 5000, undefined, fit)).status, 200);
    client.close();
  });
});

test('an answer that is cut off or is not JSON is no answer', async () => {
  const replies = [
    'HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{"half":',
    'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{x}',
    'SMTP 200\r\n\r\n',
  ];
  const server = net.createServer((s) => {
    s.on('error', () => {});
    s.once('data', () => s.end(replies.shift() ?? ''));
  });
  server.listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient({ host: '127.0.0.1', port }, { connections: 1, bodyLimit: 1000 });
  for (let i = 0; i < 3; i++)
    await assert.rejects(client.request('POST', '/', {}, 5000), /closed|JSON|status line/);
  client.close();
  server.close();
});
