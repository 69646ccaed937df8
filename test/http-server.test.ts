import assert from 'node:assert/strict';
import { getEventListeners, once } from 'node:events';
import type { AddressInfo } from 'node:net';
import net from 'node:net';
import { mock, test } from 'node:test';
import { type Handler, serve } from '../src/http/server.js';
import { settle } from './support/clock.js';
import { sendRaw, withServer } from './support/http.js';

test('a connection is closed when it stays idle or its request arrives too slowly', async () => {
  mock.timers.enable({ apis: ['setInterval', 'Date'] });
  const stop = new AbortController();
  try {
    const server = await serve(
      {
        host: '127.0.0.1',
        port: 0,
        handler: () => ({ status: 200, body: {} }),
        maxConnections: 10,
        requestTimeoutMs: 1000,
        idleTimeoutMs: 4000,
        minEvictableIdleMs: 0,
        onError: () => {},
      },
      stop.signal,
    );
    const { port } = server.address() as AddressInfo;
    const closed: string[] = [];
    const connect = async (name: string, text: string) => {
      const socket = net.connect(port, '127.0.0.1');
      socket.on('data', () => {});
      const closeEvent = new Promise<void>((resolve) => {
        socket.on('close', () => {
          closed.push(name);
          resolve();
        });
      });
      await new Promise((resolve) => socket.once('connect', resolve));
      if (text) await new Promise<void>((resolve) => socket.write(text, () => resolve()));
      // The server has read all of this when it replies to a later connection.
      await sendRaw(port, 'GET /x HTTP/1.1\r\nConnection: close\r\n\r\n');
      return closeEvent;
    };
    const slow = connect('slow', 'POST /x HTTP/1.1\r\nContent-Le');
    await settle();
    const idle = connect('idle', '');
    const used = connect('used', 'GET /x HTTP/1.1\r\n\r\n');
    await sendRaw(port, 'GET /x HTTP/1.1\r\nConnection: close\r\n\r\n');
    await settle();
    mock.timers.tick(1250);
    await slow;
    assert.deepEqual(closed, ['slow']);
    mock.timers.tick(3000);
    await Promise.all([idle, used]);
    assert.deepEqual(closed.sort(), ['idle', 'slow', 'used']);
  } finally {
    stop.abort();
    mock.timers.reset();
  }
});

test('a client that ends its side of the connection after a request still receives the reply', async () => {
  let allowReply: () => void = () => {};
  const replyAllowed = new Promise<void>((resolve) => {
    allowReply = resolve;
  });
  await withServer(
    async () => {
      await replyAllowed;
      return { status: 200, body: { late: true } };
    },
    async (port) => {
      let received = '';
      const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
      socket.on('data', (chunk) => {
        received += chunk;
      });
      socket.end('GET /x HTTP/1.1\r\n\r\n');
      await new Promise((resolve) => socket.once('finish', resolve));
      for (let i = 0; i < 5; i++) await settle();
      allowReply();
      await new Promise((resolve) => socket.once('close', resolve));
      assert.match(received, /"late":true/);
    },
  );
});

test('a handler error gets 500 and a malformed request 400, and the server keeps serving', async () => {
  await withServer(
    () => {
      throw new Error('boom');
    },
    async (port) => {
      assert.match(
        await sendRaw(port, 'GET / HTTP/1.1\r\nConnection: close\r\n\r\n'),
        /^HTTP\/1\.1 500 /,
      );
      assert.match(
        await sendRaw(port, 'nonsense\r\n\r\n'),
        /^HTTP\/1\.1 400 [\s\S]*Connection: close/,
      );
      assert.match(
        await sendRaw(port, 'GET / HTTP/1.1\r\nConnection: close\r\n\r\n'),
        /^HTTP\/1\.1 500 /,
      );
    },
  );
});

test('a full server closes the connection idle longest, never one with a request in progress', async () => {
  let finishSlowRequest: (() => void) | null = null;
  const handler: Handler = (request) =>
    request.target === '/slow'
      ? new Promise((resolve) => {
          finishSlowRequest = () => resolve({ status: 200, body: {} });
        })
      : { status: 200, body: {} };
  await withServer(
    handler,
    async (port) => {
      const sendRequest = (path: string) => {
        const socket = net.connect(port, '127.0.0.1', () =>
          socket.write(`GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`),
        );
        socket.on('error', () => {});
        const replied = new Promise((resolve) => socket.once('data', resolve));
        const closed = new Promise((resolve) => socket.once('close', resolve));
        return { socket, replied, closed };
      };
      const busy = sendRequest('/slow');
      while (!finishSlowRequest) await new Promise(setImmediate);
      const idle = sendRequest('/');
      await idle.replied;
      const next = sendRequest('/');
      await Promise.all([next.replied, idle.closed]);
      finishSlowRequest();
      assert.match(String(await busy.replied), /200 OK/);
      busy.socket.destroy();
      next.socket.destroy();
    },
    2,
  );
});

test('stopping a server closes all connections, including a busy one, with one listener on the signal', async () => {
  const stop = new AbortController();
  let served = 0;
  const handler: Handler = (request) => {
    served++;
    return request.target === '/slow' ? new Promise(() => {}) : { status: 200, body: {} };
  };
  const server = await serve(
    {
      host: '127.0.0.1',
      port: 0,
      handler,
      maxConnections: 50,
      requestTimeoutMs: 60_000,
      idleTimeoutMs: 60_000,
      minEvictableIdleMs: 0,
      onError: () => {},
    },
    stop.signal,
  );
  const { port } = server.address() as AddressInfo;
  const targets = ['/slow', ...Array.from({ length: 20 }, () => '/')];
  const sockets = targets.map((target) => {
    const socket = net.connect(port, '127.0.0.1', () =>
      socket.write(`GET ${target} HTTP/1.1\r\n\r\n`),
    );
    socket.on('data', () => {});
    socket.on('error', () => {});
    return socket;
  });
  while (served < targets.length) await settle();
  assert.equal(getEventListeners(stop.signal, 'abort').length, 1);
  stop.abort();
  for (let i = 0; i < 2000 && sockets.some((socket) => !socket.closed); i++) await settle();
  const openSockets = sockets.filter((socket) => !socket.closed);
  for (const socket of openSockets) socket.destroy();
  assert.equal(openSockets.length, 0);
  assert.equal(server.listening, false);
});

test('a server closes the connection of a client that does not read its replies', async () => {
  const large = 'x'.repeat(16 * 1024 * 1024);
  let served = 0;
  let serveAgain: () => void = () => {};
  const servedAgain = new Promise<void>((resolve) => {
    serveAgain = resolve;
  });
  const handler: Handler = () => {
    if (++served > 1) serveAgain();
    return { status: 200, body: { large } };
  };
  await withServer(handler, async (port) => {
    const socket = net.connect({ port, host: '127.0.0.1' });
    socket.on('error', () => {});
    const closed = once(socket, 'close');
    // Of two requests sent together, the second one must not be served.
    socket.write('GET / HTTP/1.1\r\n\r\nGET / HTTP/1.1\r\n\r\n');
    while (served === 0) await settle();
    let received = 0;
    socket.on('data', (data) => {
      received += data.length;
    });
    await Promise.race([closed, servedAgain]);
    assert.equal(served, 1);
    assert.ok(received < large.length, `${received} bytes`);
  });
});
