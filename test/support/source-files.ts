/** The source files that tests of the code itself read. */
import { readdirSync } from 'node:fs';
import { join } from 'node:path';

/** Returns the paths of all TypeScript files below the folder. */
export function sourceFiles(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return sourceFiles(path);
    return path.endsWith('.ts') ? [path] : [];
  });
}
