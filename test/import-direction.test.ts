/** Imports run downwards through the layers of docs/architecture.md, and never in a circle. */
import assert from 'node:assert/strict';
import { readdirSync, readFileSync } from 'node:fs';
import { dirname, join, normalize } from 'node:path';
import { test } from 'node:test';

const SOURCE = 'src';

/** The folders of src, the highest layer first; those of one line may import each other. */
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

function sourceFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return sourceFiles(path);
    return path.endsWith('.ts') ? [path] : [];
  });
}

/** The project's own modules that each module imports, types included. */
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
  assert.ok(layer >= 0, `${file} stands in no layer`);
  return layer;
}

/** Modules from which a walk along the imports comes back to itself. */
function modulesInCircles(imports: ReadonlyMap<string, readonly string[]>): string[] {
  return [...imports.keys()].filter((start) => {
    const seen = new Set<string>();
    const open = [...(imports.get(start) ?? [])];
    for (let module = open.pop(); module !== undefined; module = open.pop()) {
      if (module === start) return true;
      if (seen.has(module)) continue;
      seen.add(module);
      open.push(...(imports.get(module) ?? []));
    }
    return false;
  });
}

test('every module imports from its own layer or lower ones only', () => {
  const imports = readImports();
  assert.ok(imports.size > 100, `only ${imports.size} modules were read`);
  const upwards = [...imports].flatMap(([file, targets]) =>
    targets.filter((target) => layerOf(target) < layerOf(file)).map((to) => `${file} -> ${to}`),
  );
  assert.deepEqual(upwards, []);
});

test('no module imports itself through others, not even for types', () => {
  assert.deepEqual(modulesInCircles(readImports()), []);
  const circle = new Map([
    ['a', ['b']],
    ['b', ['c']],
    ['c', ['b']],
  ]);
  assert.deepEqual(modulesInCircles(circle), ['b', 'c']);
});
