import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { VERSION } from '../src/version.js';

test('the version that is printed is the one of the package', () => {
  const pack = JSON.parse(readFileSync('package.json', 'utf8')) as { version: string };
  assert.equal(VERSION, pack.version);
});
