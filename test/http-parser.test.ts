import assert from 'node:assert/strict';
import { test } from 'node:test';
import { HttpParseError } from '../src/http/errors.js';
import type { Message } from '../src/http/message.js';
import { Parser, REQUEST_LIMITS } from '../src/http/parser.js';

function parseRequests(text: string): Message[] {
  return new Parser('request', REQUEST_LIMITS).push(Buffer.from(text, 'latin1'));
}

/** Returns the status of the error with which the text is rejected; 0 when it is accepted. */
function rejectionStatus(text: string): number {
  try {
    parseRequests(text);
  } catch (error) {
    if (error instanceof HttpParseError) return error.status;
    throw error;
  }
  return 0;
}

const POST = 'POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello';
const CHUNKED =
  'POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n';

test('a message is parsed to the same result at every split of its bytes', () => {
  for (const text of [POST, CHUNKED, `\r\n${POST}`, POST.replaceAll('\r\n', '\n')]) {
    for (let at = 0; at <= text.length; at++) {
      const parser = new Parser('request', REQUEST_LIMITS);
      const messages = [
        ...parser.push(Buffer.from(text.slice(0, at))),
        ...parser.push(Buffer.from(text.slice(at))),
      ];
      assert.equal(messages.length, 1);
      assert.equal(messages[0]?.body.length, 5);
      assert.equal(messages[0]?.target, '/v1/jobs');
      assert.equal(parser.hasPartialMessage, false);
    }
  }
});

test('consecutive requests in the same data are parsed separately', () => {
  const messages = parseRequests(`${POST}GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n`);
  assert.deepEqual(
    messages.map((message) => [message.method, message.keepAlive]),
    [
      ['POST', true],
      ['GET', false],
    ],
  );
});

test('a malformed or oversized request is rejected with the matching status', () => {
  assert.equal(rejectionStatus('GARBAGE\r\n'), 400);
  assert.equal(rejectionStatus('GET / HTTP/2.0\r\n'), 505);
  assert.equal(rejectionStatus('GET / FTP/1.1\r\n'), 400);
  assert.equal(rejectionStatus(`GET /${'x'.repeat(9000)} HTTP/1.1\r\n`), 414);
  assert.equal(rejectionStatus(`GET / HTTP/1.1\r\nA: ${'x'.repeat(9000)}\r\n`), 431);
  assert.equal(rejectionStatus(`GET / HTTP/1.1\r\n${'A: b\r\n'.repeat(65)}\r\n`), 431);
  assert.equal(rejectionStatus('GET / HTTP/1.1\r\nno colon\r\n'), 400);
  assert.equal(rejectionStatus('GET / HTTP/1.1\r\n folded: x\r\n'), 400);
  assert.equal(rejectionStatus('POST / HTTP/1.1\r\n\r\n'), 411);
  assert.equal(rejectionStatus('POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n'), 400);
  assert.equal(rejectionStatus('POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n'), 400);
  assert.equal(
    rejectionStatus('POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n'),
    400,
  );
  assert.equal(
    rejectionStatus('POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n'),
    400,
  );
  assert.equal(rejectionStatus('POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'), 400);
  assert.equal(
    rejectionStatus('POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n20000\r\n'),
    400,
  );
});

test('a response without a length ends when the connection closes', () => {
  const parser = new Parser('response', REQUEST_LIMITS);
  assert.deepEqual(parser.push(Buffer.from('HTTP/1.1 200 OK\r\n\r\n{"a":')), []);
  parser.push(Buffer.from('1}'));
  assert.equal(parser.close()?.body.toString(), '{"a":1}');
});
