/** Guards against imports from a higher layer (docs/architecture.md) and against import cycles. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { test } from 'node:test';
import { sourceFiles } from './support/source-files.js';

const SOURCE = 'src';

/** The entries of src by layer, the highest layer first. Entries of the same layer may import each other. */
const LAYERS: readonly (readonly string[])[] = [
  ['main.ts', 'cli'],
  ['controller'],
  ['clients', 'peer', 'http'],
  ['scheduler'],
  ['config'],
  ['protocol', 'records'],
  ['model'],
  ['runtime', 'version.ts'],
];

/** Returns the modules of src that each module imports, including imports of types. */
function readImports(): Map<string, string[]> {
  const imports = new Map<string, string[]>();
  for (const file of sourceFiles(SOURCE)) {
    const specifiers = readFileSync(file, 'utf8').matchAll(/from '(\.[^']+)\.js'/g);
    const targets = [...specifiers].map(([, path]) => normalize(join(dirname(file), `${path}.ts`)));
    imports.set(file, targets);
  }
  return imports;
}

function layerOf(file: string): number {
  const [, folder = ''] = file.split('/');
  const layer = LAYERS.findIndex((folders) => folders.includes(folder));
  assert.ok(layer >= 0, `${file} belongs to no layer`);
  return layer;
}

/** Returns the modules that are part of an import cycle. */
function modulesInCycles(imports: ReadonlyMap<string, readonly string[]>): string[] {
  return [...imports.keys()].filter((start) => {
    const visited = new Set<string>();
    const pending = [...(imports.get(start) ?? [])];
    for (let module = pending.pop(); module !== undefined; module = pending.pop()) {
      if (module === start) return true;
      if (visited.has(module)) continue;
      visited.add(module);
      pending.push(...(imports.get(module) ?? []));
    }
    return false;
  });
}

test('every module imports only from its own layer or lower ones', () => {
  const imports = readImports();
  assert.ok(imports.size > 100, `only ${imports.size} modules were read`);
  const upwards = [...imports].flatMap(([file, targets]) =>
    targets.filter((target) => layerOf(target) < layerOf(file)).map((to) => `${file} -> ${to}`),
  );
  assert.deepEqual(upwards, []);
});

test('there are no import cycles, not even of types', () => {
  assert.deepEqual(modulesInCycles(readImports()), []);
  const graph = new Map([
    ['a', ['b']],
    ['b', ['c']],
    ['c', ['b']],
  ]);
  assert.deepEqual(modulesInCycles(graph), ['b', 'c']);
});
