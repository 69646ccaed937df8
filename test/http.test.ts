import assert from 'node:assert/strict';
import { getEventListeners, once } from 'node:events';
import type { AddressInfo } from 'node:net';
import net from 'node:net';
import { mock, test } from 'node:test';
import { AgentClient } from '../src/clients/agent-client.js';
import { StateClient } from '../src/clients/state-client.js';
import { HttpClient } from '../src/http/client.js';
import { NoResponseError, NotSentError } from '../src/http/errors.js';
import { type Handler, serve } from '../src/http/server.js';
import { RequestBudget, RequestPriority } from '../src/runtime/request-budget.js';
import { FakeClock, settle } from './support/clock.js';

async function serving(
  handler: Handler,
  body: (port: number) => Promise<void>,
  maxConnections = 10,
): Promise<void> {
  const stop = new AbortController();
  const server = await serve(
    {
      host: '127.0.0.1',
      port: 0,
      handler,
      maxConnections,
      requestMs: 60_000,
      idleMs: 60_000,
      spareMs: 0,
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

// First, since the mocked timers would leave those of other tests' sockets running.
test('a connection that stands after its waiter has given up is not lost to the pool', async () => {
  let first: net.Socket | null = null;
  const server = net.createServer((socket) => {
    if (first)
      socket.on('data', () => socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'));
    first ??= socket;
  });
  server.listen(0, '127.0.0.1');
  await new Promise((resolve) => server.once('listening', resolve));
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient({ host: '127.0.0.1', port }, { connections: 1, bodyLimit: 1000 });
  mock.timers.enable({ apis: ['setTimeout', 'Date'] });
  try {
    const broken = client.request({ method: 'POST', target: '/', body: {}, timeoutMs: 5000 });
    const impatient = client.request({ method: 'POST', target: '/', body: {}, timeoutMs: 500 });
    server.once('connection', (socket) => socket.once('data', () => socket.destroy()));
    await assert.rejects(broken);
    // The next connection is on its way when the request that it was meant for gives up.
    mock.timers.tick(500);
    await assert.rejects(impatient, NotSentError);
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

test('a connection is given up when nothing comes for too long or a request takes too long to arrive', async () => {
  mock.timers.enable({ apis: ['setInterval', 'Date'] });
  const stop = new AbortController();
  try {
    const server = await serve(
      {
        host: '127.0.0.1',
        port: 0,
        handler: () => ({ status: 200, body: {} }),
        maxConnections: 10,
        requestMs: 1000,
        idleMs: 4000,
        spareMs: 0,
        onError: () => {},
      },
      stop.signal,
    );
    const { port } = server.address() as AddressInfo;
    const closed: string[] = [];
    const connect = async (name: string, text: string) => {
      const socket = net.connect(port, '127.0.0.1');
      socket.on('data', () => {});
      const over = new Promise<void>((resolve) => {
        socket.on('close', () => {
          closed.push(name);
          resolve();
        });
      });
      await new Promise((resolve) => socket.once('connect', resolve));
      if (text) await new Promise<void>((resolve) => socket.write(text, () => resolve()));
      // A reply to somebody else comes only after all this has been read.
      await talk(port, 'GET /x HTTP/1.1\r\nConnection: close\r\n\r\n');
      return over;
    };
    const slow = connect('slow', 'POST /x HTTP/1.1\r\nContent-Le');
    await settle();
    const idle = connect('idle', '');
    const used = connect('used', 'GET /x HTTP/1.1\r\n\r\n');
    await talk(port, 'GET /x HTTP/1.1\r\nConnection: close\r\n\r\n');
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

test('who ends its side after a request still gets the reply', async () => {
  let answer: () => void = () => {};
  const asked = new Promise<void>((resolve) => {
    answer = resolve;
  });
  await serving(
    async () => {
      await asked;
      return { status: 200, body: { late: true } };
    },
    async (port) => {
      let got = '';
      const socket = net.connect({ port, host: '127.0.0.1', allowHalfOpen: true });
      socket.on('data', (d) => {
        got += d;
      });
      socket.end('GET /x HTTP/1.1\r\n\r\n');
      await new Promise((resolve) => socket.once('finish', resolve));
      for (let i = 0; i < 5; i++) await settle();
      answer();
      await new Promise((resolve) => socket.once('close', resolve));
      assert.match(got, /"late":true/);
    },
  );
});

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
        const response = await client.request({
          method: 'POST',
          target: '/x',
          body: { n },
          timeoutMs: 5000,
        });
        assert.deepEqual(response, { status: 200, body: { got: `{"n":${n}}` } });
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
  await assert.rejects(
    client.request({ method: 'GET', target: '/', timeoutMs: 5000 }),
    NotSentError,
  );
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
    const isStillValid = () => entitled;
    const first = client.request({
      method: 'POST',
      target: '/',
      body: {},
      timeoutMs: 5000,
      isStillValid,
    });
    // Waits for the only connection while the process stands still and its proof runs out.
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
    entitled = true;
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

test('users who ask without end keep neither budget nor connections from what leads, nor ends from being written', async () => {
  const budget = new RequestBudget(10, 10, 0);
  while (budget.take(1, RequestPriority.queries, 0) === 0);
  assert.equal(budget.take(1, RequestPriority.completions, 0), 0);
  while (budget.take(1, RequestPriority.submissions, 0) === 0);
  assert.equal(budget.take(1, RequestPriority.leadership, 0), 0);

  const held: (() => void)[] = [];
  const handler: Handler = (request) =>
    request.method === 'POST'
      ? { status: 200, body: {} }
      : new Promise((resolve) => held.push(() => resolve({ status: 404, body: {} })));
  await serving(handler, async (port) => {
    const state = new StateClient({
      address: { host: '127.0.0.1', port },
      requestsPerS: 10,
      changesPerS: 10,
      loweredChangesPerS: 10,
      timeoutMs: 60_000,
      clock: new FakeClock(),
    });
    // More than the connections for users.
    const asked = Array.from({ length: 5 }, () => state.get('live/x', RequestPriority.submissions));
    assert.equal(await state.touch(7), true);
    const drain = async () => {
      while (held.length > 0) held.pop()?.();
      await new Promise(setImmediate);
    };
    let done = false;
    const all = Promise.all(asked).then(() => {
      done = true;
    });
    while (!done) await drain();
    await all;
    state.close();
  });
});

test('commands keep to their sockets: the one at rest goes, and none is cut off', async () => {
  const answer = {
    cart: 'n-1',
    endpoint: 'x:1',
    rig: 'm',
    hall: 'a',
    loaner: false,
    shift: 1,
    tally: 1,
    baton: 1,
    hands: [],
  };
  let release: (() => void) | null = null;
  const slow: Handler = () =>
    new Promise((resolve) => {
      release = () => resolve({ status: 200, body: answer });
    });
  await serving(slow, (a) =>
    serving(
      () => ({ status: 200, body: answer }),
      async (b) => {
        const agents = new AgentClient(60_000, 1);
        const send = (port: number) =>
          agents.command(`127.0.0.1:${port}`, 1, 1, [], new AbortController().signal, () => true);
        const first = send(a);
        await assert.rejects(send(b), NotSentError);
        while (!release) await new Promise(setImmediate);
        release();
        assert.equal((await first).executed, true);
        assert.equal((await send(b)).executed, true);
        agents.close();
      },
    ),
  );
});

test('a full server gives up the connection that was idle for longest, never one that is served', async () => {
  let held: (() => void) | null = null;
  const handler: Handler = (request) =>
    request.target === '/slow'
      ? new Promise((resolve) => {
          held = () => resolve({ status: 200, body: {} });
        })
      : { status: 200, body: {} };
  await serving(
    handler,
    async (port) => {
      const ask = (path: string) => {
        const socket = net.connect(port, '127.0.0.1', () =>
          socket.write(`GET ${path} HTTP/1.1\r\nHost: x\r\n\r\n`),
        );
        socket.on('error', () => {});
        const answered = new Promise((resolve) => socket.once('data', resolve));
        const closed = new Promise((resolve) => socket.once('close', resolve));
        return { socket, answered, closed };
      };
      const served = ask('/slow');
      while (!held) await new Promise(setImmediate);
      const idle = ask('/');
      await idle.answered;
      const next = ask('/');
      await Promise.all([next.answered, idle.closed]);
      held();
      assert.match(String(await served.answered), /200 OK/);
      served.socket.destroy();
      next.socket.destroy();
    },
    2,
  );
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
    await assert.rejects(
      client.request({ method: 'POST', target: '/', body: {}, timeoutMs: 5000 }),
      /closed|JSON|status line/,
    );
  client.close();
  server.close();
});

test('the end of a server closes every connection by one listener on the signal, also one that is served', async () => {
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
      requestMs: 60_000,
      idleMs: 60_000,
      spareMs: 0,
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
  const left = sockets.filter((socket) => !socket.closed);
  for (const socket of left) socket.destroy();
  assert.equal(left.length, 0);
  assert.equal(server.listening, false);
});

test('a server keeps no replies for a client that never reads them', async () => {
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
  await serving(handler, async (port) => {
    const socket = net.connect({ port, host: '127.0.0.1' });
    socket.on('error', () => {});
    const closed = once(socket, 'close');
    // Two at once: the second one is never served.
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

test('a request on a kept connection that the server has closed is sent again only when it changes nothing', async () => {
  /** How many requests a connection answers before it is closed at the next. */
  const answered = 1;
  let connections = 0;
  const server = net.createServer((socket) => {
    connections++;
    let requests = 0;
    socket.on('error', () => {});
    socket.on('data', () => {
      if (requests++ >= answered) socket.destroy();
      else socket.write('HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}');
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const client = new HttpClient({ host: '127.0.0.1', port }, { connections: 1, bodyLimit: 1000 });
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
