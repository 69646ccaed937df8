import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import {
  copyFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  realpathSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, relative, resolve } from 'node:path';
import { test } from 'node:test';

/** What the project's own lint command says of these files, as if they were the project's sources. */
function lint(files: Record<string, string>): { code: number | null; found: string[] } {
  const dir = mkdtempSync(join(realpathSync(tmpdir()), 'lint-'));
  try {
    for (const name of ['biome.json', '.gitignore']) copyFileSync(name, join(dir, name));
    for (const [name, text] of Object.entries(files)) {
      mkdirSync(dirname(join(dir, name)), { recursive: true });
      writeFileSync(join(dir, name), text);
    }
    const { scripts } = JSON.parse(readFileSync('package.json', 'utf8'));
    const [command, ...args] = scripts.lint.split(' ');
    assert.equal(command, 'biome');
    const run = spawnSync(resolve('node_modules/.bin/biome'), [...args, '--reporter=github'], {
      cwd: dir,
      encoding: 'utf8',
    });
    const lines = run.stdout.matchAll(/^::(error|warning) title=([^,]+),file=([^,]+)/gm);
    const found = [...lines].map(
      ([, level, rule, file = '']) => `${level}: ${rule} in ${relative(dir, file)}`,
    );
    return { code: run.status, found: found.sort() };
  } finally {
    rmSync(dir, { recursive: true });
  }
}

const LATER = 'export async function later(): Promise<number> {\n  return 1;\n}\n';

/** Branches one in the other, seven deep. */
const NESTED = [1, 2, 3, 4, 5, 6, 7].reduceRight(
  (inner, level) => {
    const indent = '  '.repeat(level);
    return `${indent}if (value > ${level}) {\n${inner}${indent}}\n`;
  },
  `${'  '.repeat(8)}return 1;\n`,
);

/** Each rule with a file that only it finds fault with, in a folder that no exception is made for. */
const FAULTS: Record<string, string> = {
  'lint/suspicious/noDebugger': 'export function stop(): void {\n  debugger;\n}\n',
  'lint/suspicious/noVar': 'export var count = 1;\n',
  'lint/suspicious/noDoubleEquals':
    'export function same(a: unknown, b: unknown): boolean {\n  return a == b;\n}\n',
  'lint/complexity/noExcessiveCognitiveComplexity': `export function depth(value: number): number {\n${NESTED}  return 0;\n}\n`,
  'lint/correctness/noUnusedImports':
    "import { join } from 'node:path';\n\nexport const value = 1;\n",
  'lint/correctness/noUnusedVariables': 'const value = 1;\n',
  'lint/correctness/noUnusedFunctionParameters':
    'export function one(value: number): number {\n  return 1;\n}\n',
  'lint/correctness/noUnusedPrivateClassMembers':
    'export class Idle {\n  private readonly value = 1;\n}\n',
  'lint/nursery/noFloatingPromises':
    "import { later } from './later.js';\n\nexport function run(): void {\n  later();\n}\n",
  'lint/nursery/noMisusedPromises':
    "import { later } from './later.js';\n\nexport function run(): number {\n  return later() ? 1 : 0;\n}\n",
  'lint/style/useNamingConvention': 'export const settings = { max_sockets: 1 };\n',
};

test('each planted fault is found, and nothing else', () => {
  const rules = Object.keys(FAULTS);
  const files = Object.values(FAULTS).map((text, i) => [`src/scheduler/fault-${i}.ts`, text]);
  const { code, found } = lint({ 'src/scheduler/later.ts': LATER, ...Object.fromEntries(files) });
  const expected = rules.map((rule, i) => `error: ${rule} in src/scheduler/fault-${i}.ts`);
  assert.deepEqual(found, expected.sort());
  assert.equal(code, 1);
});

test('a warning alone fails the run, and sources without a fault pass', () => {
  assert.deepEqual(lint({ 'src/scheduler/any.ts': 'export const value: any = 1;\n' }), {
    code: 1,
    found: ['warning: lint/suspicious/noExplicitAny in src/scheduler/any.ts'],
  });
  assert.deepEqual(lint({ 'src/scheduler/later.ts': LATER }), { code: 0, found: [] });
});

test('modules that import each other in a circle are found, types alone may', () => {
  const first = "import { second } from './second.js';\n\nexport const first = () => second;\n";
  const second = "import { first } from './first.js';\n\nexport const second = () => first;\n";
  const circle = lint({ 'src/scheduler/first.ts': first, 'src/scheduler/second.ts': second });
  assert.deepEqual(circle, {
    code: 1,
    found: [
      'error: lint/suspicious/noImportCycles in src/scheduler/first.ts',
      'error: lint/suspicious/noImportCycles in src/scheduler/second.ts',
    ],
  });
  const types = "import type { First } from './first.js';\n\nexport type Second = First | null;\n";
  const half = "import type { Second } from './second.js';\n\nexport type First = Second[];\n";
  assert.equal(lint({ 'src/scheduler/first.ts': half, 'src/scheduler/second.ts': types }).code, 0);
});

test('the scripts of the checks are linted too', () => {
  const { code, found } = lint({ '.ci/check.mjs': 'const value = 1;\n' });
  assert.deepEqual(found, ['error: lint/correctness/noUnusedVariables in .ci/check.mjs']);
  assert.equal(code, 1);
});

test("the platform's own names pass as properties where its settings are read, and only as those", () => {
  const settings = 'export const settings = { max_sockets: 1 };\n';
  assert.deepEqual(lint({ 'src/config/settings.ts': settings }), { code: 0, found: [] });
  assert.deepEqual(lint({ 'src/config/settings.ts': 'export const max_sockets = 1;\n' }), {
    code: 1,
    found: ['error: lint/style/useNamingConvention in src/config/settings.ts'],
  });
});
