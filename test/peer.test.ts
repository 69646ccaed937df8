import assert from 'node:assert/strict';
import { test } from 'node:test';
import { FrameReader, packFrame } from '../src/peer/frames.js';

test('frames survive any split of their bytes, and nonsense is refused', () => {
  const values = [
    { kind: 'status', counts: [['req-1', 2, 3]] },
    { kind: 'ask', n: 1 },
  ];
  const bytes = Buffer.concat(values.map(packFrame));
  for (let at = 0; at <= bytes.length; at++) {
    const reader = new FrameReader();
    const got = [...reader.push(bytes.subarray(0, at)), ...reader.push(bytes.subarray(at))];
    assert.deepEqual(got, values);
  }
  assert.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n')), /too large/);
});
