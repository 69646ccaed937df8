import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

/** The verdict on a run of two tests, of which the first fails or not. */
function verdict(first: 'ok' | 'not ok', known: string[] | null, status = first === 'ok' ? 0 : 1) {
  const dir = mkdtempSync(join(tmpdir(), 'known-red-'));
  try {
    const output = join(dir, 'output');
    const list = join(dir, 'list');
    writeFileSync(output, `TAP version 13\n${first} 1 - one, two\n  ---\nok 2 - other\n1..2\n`);
    if (known) writeFileSync(list, `${known.join('\n')}\n`);
    const run = spawnSync(process.execPath, ['.ci/known-red.mjs', output, String(status), list], {
      encoding: 'utf8',
    });
    return { code: run.status, text: run.stdout };
  } finally {
    rmSync(dir, { recursive: true });
  }
}

test('only tests that are listed as known to fail may fail, and they must', () => {
  const line = 'one, two, the clock is late, issue 99';
  assert.equal(verdict('ok', null).code, 0);
  assert.equal(verdict('not ok', null).code, 1);
  const red = verdict('not ok', [line]);
  assert.equal(red.code, 0);
  assert.match(red.text, /known red: one, two, the clock is late/);
  assert.equal(verdict('ok', [line]).code, 1);
  assert.equal(verdict('not ok', ['gone, why, issue 1']).code, 1);
  assert.equal(verdict('not ok', [line, 'other, why, issue 1']).code, 1);
  assert.equal(verdict('not ok', [line, line, line]).code, 0);
  assert.equal(verdict('not ok', [line, line, line, line]).code, 1);
  // The runner itself failed.
  assert.equal(verdict('ok', null, 7).code, 1);
});
