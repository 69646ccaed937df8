import assert from 'node:assert/strict';
import { once } from 'node:events';
import net from 'node:net';
import { test } from 'node:test';
import { FrameReader, packFrame } from '../src/peer/frames.js';
import { PeerUnavailableError } from '../src/peer/peer-link.js';
import { PeerNetwork } from '../src/peer/peer-network.js';
import { systemClock } from '../src/runtime/clock.js';

test('frames are decoded at every split of their bytes, and other data is rejected', () => {
  const values = [
    { kind: 'status', counts: [['req-1', 2, 3]] },
    { kind: 'ask', n: 1 },
  ];
  const bytes = Buffer.concat(values.map(packFrame));
  for (let at = 0; at <= bytes.length; at++) {
    const reader = new FrameReader();
    const decoded = [...reader.push(bytes.subarray(0, at)), ...reader.push(bytes.subarray(at))];
    assert.deepEqual(decoded, values);
  }
  assert.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n')), /too large/);
});

test('a request fails on its timeout or when the connection closes, whichever comes first', async () => {
  const stop = new AbortController();
  const accepted: net.Socket[] = [];
  // Accepts connections and never responds.
  const listener = net.createServer((socket) => {
    socket.on('error', () => {});
    accepted.push(socket.resume());
  });
  listener.listen(0, '127.0.0.1');
  await once(listener, 'listening');
  const address = { host: '127.0.0.1', port: (listener.address() as net.AddressInfo).port };
  const network = new PeerNetwork({
    host: '127.0.0.1',
    port: 0,
    peers: [{ node: 'n-1', address }],
    clock: systemClock,
    // Long enough to connect on a busy machine.
    reconnectDelayMs: 5000,
    onStatus: () => {},
    onRequest: () => Promise.reject(new Error('unexpected request')),
    onError: () => {},
  });
  void network.run(stop.signal);
  try {
    while (!network.isConnected('n-1') || accepted.length === 0)
      await new Promise((resolve) => setTimeout(resolve, 5));
    const unavailable = (message: RegExp) => (error: unknown) =>
      error instanceof PeerUnavailableError && message.test(error.message);
    await assert.rejects(network.request('n-1', 'user', {}, 20), unavailable(/^n-1 timed out$/));
    const pending = network.request('n-1', 'user', {}, 60_000);
    accepted[0]?.destroy();
    await assert.rejects(pending, unavailable(/^n-1 closed the connection$/));
    assert.equal(network.isConnected('n-1'), false);
    await assert.rejects(
      network.request('n-1', 'user', {}, 60_000),
      unavailable(/^n-1 is not connected$/),
    );
  } finally {
    stop.abort();
    listener.close();
  }
});
