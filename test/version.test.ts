import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { VERSION } from '../src/version.js';

test('the printed version equals the version in package.json', () => {
  const manifest = JSON.parse(readFileSync('package.json', 'utf8')) as { version: string };
  assert.equal(VERSION, manifest.version);
});
