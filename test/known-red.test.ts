import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';

/** Runs .ci/known-red.mjs on the output of a run of two tests, of which the second one passes. */
function checkRun(
  firstResult: 'ok' | 'not ok',
  entries: string[] | null,
  status = firstResult === 'ok' ? 0 : 1,
) {
  const dir = mkdtempSync(join(tmpdir(), 'known-red-'));
  try {
    const output = join(dir, 'output');
    const list = join(dir, 'list');
    writeFileSync(
      output,
      `TAP version 13\n${firstResult} 1 - one, two\n  ---\nok 2 - other\n1..2\n`,
    );
    if (entries) writeFileSync(list, `${entries.join('\n')}\n`);
    const run = spawnSync(process.execPath, ['.ci/known-red.mjs', output, String(status), list], {
      encoding: 'utf8',
    });
    return { code: run.status, text: run.stdout };
  } finally {
    rmSync(dir, { recursive: true });
  }
}

test('a run passes only if exactly the listed tests fail and at most three are listed', () => {
  const line = 'one, two, the clock is late, issue 99';
  assert.equal(checkRun('ok', null).code, 0);
  assert.equal(checkRun('not ok', null).code, 1);
  const listedFailure = checkRun('not ok', [line]);
  assert.equal(listedFailure.code, 0);
  assert.match(listedFailure.text, /known red: one, two, the clock is late/);
  assert.equal(checkRun('ok', [line]).code, 1);
  assert.equal(checkRun('not ok', ['gone, why, issue 1']).code, 1);
  assert.equal(checkRun('not ok', [line, 'other, why, issue 1']).code, 1);
  assert.equal(checkRun('not ok', [line, line, line]).code, 0);
  assert.equal(checkRun('not ok', [line, line, line, line]).code, 1);
  // The test runner fails although all tests pass.
  assert.equal(checkRun('ok', null, 7).code, 1);
});
