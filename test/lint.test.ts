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

/** Runs the project's own lint command on these files, as if they were its sources, and returns the exit code and the sorted findings. */
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

const ASYNC_MODULE = 'export async function later(): Promise<number> {\n  return 1;\n}\n';

/** Nested branches, seven levels deep. */
const NESTED_BRANCHES = [1, 2, 3, 4, 5, 6, 7].reduceRight(
  (inner, level) => {
    const indent = '  '.repeat(level);
    return `${indent}if (value > ${level}) {\n${inner}${indent}}\n`;
  },
  `${'  '.repeat(8)}return 1;\n`,
);

/** For each rule, the text of a file that violates only this rule. The test writes it to a folder that no override in biome.json covers. */
const VIOLATIONS: Record<string, string> = {
  'lint/suspicious/noDebugger': 'export function stop(): void {\n  debugger;\n}\n',
  'lint/suspicious/noVar': 'export var count = 1;\n',
  'lint/suspicious/noDoubleEquals':
    'export function same(a: unknown, b: unknown): boolean {\n  return a == b;\n}\n',
  'lint/complexity/noExcessiveCognitiveComplexity': `export function depth(value: number): number {\n${NESTED_BRANCHES}  return 0;\n}\n`,
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

test('each rule reports its violation, and nothing else is reported', () => {
  const rules = Object.keys(VIOLATIONS);
  const files = Object.values(VIOLATIONS).map((text, i) => [`src/scheduler/fault-${i}.ts`, text]);
  const { code, found } = lint({
    'src/scheduler/later.ts': ASYNC_MODULE,
    ...Object.fromEntries(files),
  });
  const expected = rules.map((rule, i) => `error: ${rule} in src/scheduler/fault-${i}.ts`);
  assert.deepEqual(found, expected.sort());
  assert.equal(code, 1);
});

test('a warning alone fails the run, and sources without findings pass', () => {
  assert.deepEqual(lint({ 'src/scheduler/any.ts': 'export const value: any = 1;\n' }), {
    code: 1,
    found: ['warning: lint/suspicious/noExplicitAny in src/scheduler/any.ts'],
  });
  assert.deepEqual(lint({ 'src/scheduler/later.ts': ASYNC_MODULE }), { code: 0, found: [] });
});

test('import cycles are reported, except for cycles of types alone', () => {
  const first = "import { second } from './second.js';\n\nexport const first = () => second;\n";
  const second = "import { first } from './first.js';\n\nexport const second = () => first;\n";
  const cycle = lint({ 'src/scheduler/first.ts': first, 'src/scheduler/second.ts': second });
  assert.deepEqual(cycle, {
    code: 1,
    found: [
      'error: lint/suspicious/noImportCycles in src/scheduler/first.ts',
      'error: lint/suspicious/noImportCycles in src/scheduler/second.ts',
    ],
  });
  const typeCycleSecond =
    "import type { First } from './first.js';\n\nexport type Second = First | null;\n";
  const typeCycleFirst =
    "import type { Second } from './second.js';\n\nexport type First = Second[];\n";
  assert.equal(
    lint({ 'src/scheduler/first.ts': typeCycleFirst, 'src/scheduler/second.ts': typeCycleSecond })
      .code,
    0,
  );
});

test('the scripts in .ci are linted too', () => {
  const { code, found } = lint({ '.ci/check.mjs': 'const value = 1;\n' });
  assert.deepEqual(found, ['error: lint/correctness/noUnusedVariables in .ci/check.mjs']);
  assert.equal(code, 1);
});

test("the platform's field names are allowed where its settings are read, and only as properties", () => {
  const settings = 'export const settings = { max_sockets: 1 };\n';
  assert.deepEqual(lint({ 'src/config/settings.ts': settings }), { code: 0, found: [] });
  assert.deepEqual(lint({ 'src/config/settings.ts': 'export const max_sockets = 1;\n' }), {
    code: 1,
    found: ['error: lint/style/useNamingConvention in src/config/settings.ts'],
  });
});
